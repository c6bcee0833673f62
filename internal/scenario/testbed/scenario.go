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

// waitTimeout bounds every wait of a scenario. It is far longer than any wait takes
// on an idle machine, so that a busy machine makes a scenario slower but not fail.
const waitTimeout = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// scenario is the state of one running scenario. mu guards processes.
type scenario struct {
	mu         sync.Mutex
	processes  map[string]*process
	transcript bytes.Buffer
	pending    map[string]*pendingRequest
}

type scenarioKey struct{}

// Each scenario gets a loopback address 127.0.N.1. loopbackVariable is the environment
// variable that holds it; N takes subnetCount values from firstSubnet on, far more than
// there are scenarios running in parallel.
const (
	loopbackVariable = "loopback"
	firstSubnet      = 16
	subnetCount      = 200
)

// scenarioCount is the number of scenarios set up so far in this process.
var scenarioCount atomic.Int64

// Setup prepares a scenario: its state, its loopback address, and the kill of its
// processes at the end.
func Setup(env *testscript.Env) error {
	s := &scenario{
		processes: make(map[string]*process),
		pending:   make(map[string]*pendingRequest),
	}
	env.Values[scenarioKey{}] = s
	env.Defer(s.killAll)
	env.Setenv("TMPDIR", os.TempDir())
	env.Setenv(loopbackVariable, fmt.Sprintf("127.0.%d.1", firstSubnet+scenarioCount.Add(1)%subnetCount))
	return nil
}

func scenarioOf(ts *testscript.TestScript) *scenario {
	return ts.Value(scenarioKey{}).(*scenario)
}

// Commands returns the commands that scenarios have in addition to testscript's own.
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
