package cicadaloom

import (
	"context"
	"flag"
	"net/http"

	"cicadaloom/internal/command/program"
)

const drainHelp = `Drains the entry host that is asked: it refuses new requests as not run, answers
503 at /healthz, gives the leadership back and leaves its partitions to other
hosts. What is in flight there goes on to its end, and the process does not end
by itself: send it SIGTERM once InFlight is 0, or at once, which waits for the
same. Needs the administrators' token. Ask again to see how far it is.

  cicadaloom drain -operators http://10.0.0.7:8081
  cicadaloom drain -operators http://10.0.0.7:8081 -back

-back takes it back as long as the process has not been told to end: the host
serves again, gets partitions at the next exchange of its peers, and may lead
when the present leader goes. Requests that were refused stay refused.
`

func init() {
	commands.Register(program.Command{
		Name:    "drain",
		Summary: "let an entry host finish what it has and take no more",
		Help:    drainHelp,
		Prepare: prepareDrain,
	})
}

func prepareDrain(flags *flag.FlagSet) program.Runner {
	c := declareClientFlags(flags)
	back := flags.Bool("back", false, "take a drain back")
	return func(_ context.Context, to program.Streams, _ []string) error {
		method := http.MethodPost
		if *back {
			method = http.MethodDelete
		}
		got, err := c.call(method, "/admin/drain", nil, nil)
		if err != nil {
			return err
		}
		if err := got.failure(); err != nil {
			return err
		}
		_, err = to.Out.Write(got.body)
		return err
	}
}
