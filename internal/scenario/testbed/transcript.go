package testbed

import (
	"os"

	"github.com/rogpeppe/go-internal/testscript"
)

func cmdTranscript(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 1, "transcript FILE")
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), scenarioOf(ts).transcript.Bytes(), 0o600))
}

func cmdPin(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 0, "pin")
	scenarioOf(ts).transcript.Reset()
}
