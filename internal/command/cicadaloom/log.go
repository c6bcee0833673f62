package cicadaloom

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadaloom/internal/config/settings"
)

// newLog returns the logger of an entry host. Every line has the host and its data
// centre; field names are in Pascal case, as in all of the project's formats.
func newLog(host *settings.Host, minLevel settings.Level, out zapcore.WriteSyncer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(strings.ToLower(string(minLevel)))
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.LevelKey = "Level"
	config.MessageKey = "Message"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := plainErrors{
		Core: zapcore.NewCore(zapcore.NewJSONEncoder(config), out, level),
	}
	return zap.New(core).With(zap.String("Host", string(host.Name)), zap.String("DataCentre", string(host.DataCentre))), nil
}

// plainErrors writes an error field as its text under the name "Error". By default
// zap names it in lower case and adds the stack trace of pkg/errors: kilobytes with
// the build machine's paths in every line about a lost attempt.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{
		Core: c.Core.With(withPlainErrors(fields)),
	}
}

// Check implements zapcore.Core. It adds plainErrors itself, not the embedded core,
// whose Write would bypass the conversion.
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
