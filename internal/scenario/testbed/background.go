package testbed

import (
	"fmt"
	"io"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	tomb "gopkg.in/tomb.v2"
)

// background is a request that a scenario has begun and not yet looked at.
type background struct {
	request parsed
	answer  chan answer
	tomb    tomb.Tomb
}

// cmdBegin makes a request and goes on; cmdFinished shows its answer.
func cmdBegin(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 5, "begin LABEL ask|operator NAME ...")
	at, p := resolve(ts, args[1:])
	begun := &background{
		request: p,
		answer:  make(chan answer, 1),
	}
	bedOf(ts).begun[args[0]] = begun
	begun.tomb.Go(func() error {
		got, err := call(p.method, "http://"+at+p.path, p.headers, p.body)
		if err != nil {
			got.cut = true
		}
		begun.answer <- got
		return nil
	})
}

func cmdFinished(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) == 1, "finished LABEL")
	b := bedOf(ts)
	begun, found := b.begun[args[0]]
	if !found {
		ts.Fatalf("nothing was begun as %s", args[0])
	}
	delete(b.begun, args[0])
	select {
	case got := <-begun.answer:
		if got.status == 0 {
			fmt.Fprintln(&b.transcript, "no answer")
			_, _ = io.WriteString(ts.Stdout(), "no answer\n")
			if !neg {
				ts.Fatalf("%s got no answer", args[0])
			}
			return
		}
		report(ts, neg, "caller", begun.request, got)
	case <-time.After(waitMost):
		ts.Fatalf("%s was not answered in time", args[0])
	}
}
