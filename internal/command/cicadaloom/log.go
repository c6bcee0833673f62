package cicadaloom

import (
	"slices"
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
	log, err := config.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return plainErrors{
			Core: core,
		}
	}))
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return log.With(zap.String("Host", string(loaded.Host.Name)), zap.String("DataCentre", string(loaded.Host.DataCentre))), nil
}

// plainErrors writes an error as its text under a name in Pascal case. By itself
// zap names it in lower case and adds the stack that pkg/errors keeps: kilobytes
// with the build machine's paths, in every line about a lost attempt.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{
		Core: c.Core.With(withPlainErrors(fields)),
	}
}

// Check implements zapcore.Core: it is this core that has to write.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, withPlainErrors(fields))
}

func withPlainErrors(fields []zapcore.Field) []zapcore.Field {
	changed := slices.Clone(fields)
	for i := range changed {
		if err, isError := changed[i].Interface.(error); isError && changed[i].Type == zapcore.ErrorType {
			changed[i] = zap.String("Error", err.Error())
		}
	}
	return changed
}
