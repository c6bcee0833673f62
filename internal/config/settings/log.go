package settings

import "cicadaloom/internal/config/jsonfile"

// Level is the minimum level of log lines.
type Level string

// Levels, named as in zap.
const (
	LevelDebug Level = "Debug"
	LevelInfo  Level = "Info"
	LevelWarn  Level = "Warn"
	LevelError Level = "Error"
)

// Log configures logging.
type Log struct {
	Level Level
}

func defaultLog() Log {
	return Log{
		Level: LevelInfo,
	}
}

// LogTable is the table of Log. Settings of other programs include it too.
var LogTable = jsonfile.Object[Log]{
	Members: []jsonfile.Member[Log]{
		jsonfile.Optional("Level", func(l *Log) *Level { return &l.Level },
			jsonfile.Text[Level]{
				OneOf: []Level{LevelDebug, LevelInfo, LevelWarn, LevelError},
			},
			"The least level of a line that is logged."),
	},
}
