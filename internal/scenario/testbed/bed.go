package testbed

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitMost bounds every wait of a scenario. It is far beyond what any of them
// takes on an idle machine: a busy one only makes a scenario slower.
const waitMost = 60 * time.Second

// waitEvery is how often a condition is looked at.
const waitEvery = 20 * time.Millisecond

// bed is what one scenario has running.
type bed struct {
	mu         sync.Mutex
	processes  map[string]*process
	transcript bytes.Buffer
	begun      map[string]*background
}

type bedKey struct{}

// loopback names the variable with the loopback address of a scenario, firstNetwork is
// the third part of the first such address, networks how many there are: far more than
// scenarios that run side by side.
const (
	loopback     = "loopback"
	firstNetwork = 16
	networks     = 200
)

// scenarios counts those that were set up.
var scenarios atomic.Int64

// Setup prepares a scenario.
func Setup(env *testscript.Env) error {
	b := &bed{
		processes: make(map[string]*process),
		begun:     make(map[string]*background),
	}
	env.Values[bedKey{}] = b
	env.Defer(b.endAll)
	env.Setenv("TMPDIR", os.TempDir())
	env.Setenv(loopback, fmt.Sprintf("127.0.%d.1", firstNetwork+scenarios.Add(1)%networks))
	return nil
}

func bedOf(ts *testscript.TestScript) *bed {
	return ts.Value(bedKey{}).(*bed)
}

// Commands gives the commands that scenarios have beside testscript's own.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"platform":   cmdPlatform,
		"engine":     cmdEngine,
		"service":    cmdService,
		"host":       cmdHost,
		"relay":      cmdRelay,
		"signal":     cmdSignal,
		"ended":      cmdEnded,
		"fault":      cmdFault,
		"ask":        cmdAsk,
		"operator":   cmdOperator,
		"edit":       cmdEdit,
		"until":      cmdUntil,
		"within":     cmdWithin,
		"revision":   cmdRevision,
		"many":       cmdMany,
		"transcript": cmdTranscript,
		"pin":        cmdPin,
		"begin":      cmdBegin,
		"finished":   cmdFinished,
		"logged":     cmdLogged,
		"once":       cmdOnce,
	}
}

func usage(ts *testscript.TestScript, ok bool, text string) {
	if !ok {
		ts.Fatalf("usage: %s", text)
	}
}
