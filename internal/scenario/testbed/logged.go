package testbed

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// logLine is one line of an entry host's log.
type logLine map[string]any

// commonFields are the fields that every log line must have.
var commonFields = []string{"Time", "Level", "Message", "Host", "DataCentre"}

// cmdLogged waits until a host has logged a message, and checks every line with
// that message: its level, and that each field is present and not empty. A field
// may be given as NAME=VALUE: then only lines with that value are checked. All
// lines of the log must have commonFields; lines about a request its id, and
// lines about an attempt also the attempt's id.
func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 3, "logged NAME LEVEL MESSAGE [FIELD | FIELD=VALUE]...")
	file := args[0] + ".log"
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		lines := logLines(ts, ts.ReadFile(file))
		if found := matchingLines(lines, args[2], args[3:]); len(found) > 0 {
			for _, line := range found {
				checkLine(ts, line, args[1], args[3:])
			}
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("%s has no line %q with %v: %s", file, args[2], args[3:], tail(ts.ReadFile(file)))
}

// cmdOnce checks that exactly one line of a host's log has a field with a value.
func cmdOnce(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 2 && strings.Contains(args[1], "="), "once NAME FIELD=VALUE")
	name, value, _ := strings.Cut(args[1], "=")
	count := 0
	for _, line := range logLines(ts, ts.ReadFile(args[0]+".log")) {
		if line[name] == value {
			count++
		}
	}
	if count != 1 {
		ts.Fatalf("%d lines have %s", count, args[1])
	}
}

func logLines(ts *testscript.TestScript, text string) []logLine {
	var lines []logLine
	// The last line may be incomplete while the host still writes it.
	for _, raw := range strings.Split(text[:strings.LastIndex(text, "\n")+1], "\n") {
		if raw == "" {
			continue
		}
		var line logLine
		if err := json.Unmarshal([]byte(raw), &line); err != nil {
			ts.Fatalf("a log line is no JSON object: %s", raw)
		}
		for _, field := range commonFields {
			requireField(ts, line, field)
		}
		message := line["Message"].(string)
		if strings.HasPrefix(message, "request ") || strings.HasPrefix(message, "attempt ") {
			requireField(ts, line, "RequestID")
		}
		if strings.HasPrefix(message, "attempt ") {
			requireField(ts, line, "AttemptID")
		}
		for field := range line {
			if field[:1] != strings.ToUpper(field[:1]) {
				ts.Fatalf("the field %s of a log line is not in Pascal case: %s", field, raw)
			}
		}
		lines = append(lines, line)
	}
	return lines
}

func matchingLines(lines []logLine, message string, fields []string) []logLine {
	var found []logLine
	for _, line := range lines {
		matches := line["Message"] == message
		for _, field := range fields {
			if name, value, hasValue := strings.Cut(field, "="); hasValue && line[name] != value {
				matches = false
			}
		}
		if matches {
			found = append(found, line)
		}
	}
	return found
}

func checkLine(ts *testscript.TestScript, line logLine, level string, fields []string) {
	if got := line["Level"]; !strings.EqualFold(got.(string), level) {
		ts.Fatalf("%v is at level %v, not %s", line, got, level)
	}
	for _, field := range fields {
		name, _, _ := strings.Cut(field, "=")
		requireField(ts, line, name)
	}
}

func requireField(ts *testscript.TestScript, line logLine, field string) {
	if value, found := line[field]; !found || value == "" {
		ts.Fatalf("a log line has no %s: %v", field, line)
	}
}
