package testbed

import (
	"fmt"
	"io"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	tomb "gopkg.in/tomb.v2"
)

// pendingRequest is a request that begin has sent and finished has not yet read.
type pendingRequest struct {
	request requestSpec
	answer  chan answer
	tomb    tomb.Tomb
}

// cmdBegin sends a request in a goroutine; cmdFinished waits for its answer and reports it.
func cmdBegin(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 5, "begin LABEL ask|operator NAME ...")
	address, p := resolve(ts, args[1:])
	pending := &pendingRequest{
		request: p,
		answer:  make(chan answer, 1),
	}
	scenarioOf(ts).pending[args[0]] = pending
	pending.tomb.Go(func() error {
		got, err := send(p.method, "http://"+address+p.path, p.headers, p.body)
		if err != nil {
			got.truncated = true
		}
		pending.answer <- got
		return nil
	})
}

func cmdFinished(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) == 1, "finished LABEL")
	s := scenarioOf(ts)
	pending, found := s.pending[args[0]]
	if !found {
		ts.Fatalf("nothing was begun as %s", args[0])
	}
	delete(s.pending, args[0])
	select {
	case got := <-pending.answer:
		if got.status == 0 {
			fmt.Fprintln(&s.transcript, "no answer")
			_, _ = io.WriteString(ts.Stdout(), "no answer\n")
			if !neg {
				ts.Fatalf("%s got no answer", args[0])
			}
			return
		}
		reportAnswer(ts, neg, "caller", pending.request, got)
	case <-time.After(waitTimeout):
		ts.Fatalf("%s was not answered in time", args[0])
	}
}
