package cicadaloom

import (
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadaloom/internal/config/settings"
)

// newLog makes the log of an entry host. Every line has the host and its data
// centre; names in it are in Pascal case, as in all of the project's formats.
func newLog(loaded settings.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(strings.ToLower(string(loaded.Log.Level)))
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = "Time"
	config.EncoderConfig.LevelKey = "Level"
	config.EncoderConfig.MessageKey = "Message"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := config.Build()
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return log.With(zap.String("Host", string(loaded.Host.Name)), zap.String("DataCentre", string(loaded.Host.DataCentre))), nil
}
