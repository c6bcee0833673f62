package standin

import (
	"context"
	"flag"
	"io"

	"cicadaloom/internal/standin/relay"
)

const relayHelp = `Carries TCP connections to another address, and fails as networks do.

  POST /faults on -admin   sets the fault switches, GET /faults shows them

The switches: Cut, Swallow, Delay, BytesPerSecond.
`

func init() {
	register(command{
		name:    "relay",
		summary: "a network between two processes",
		help:    relayHelp,
		prepare: prepareRelay,
	})
}

func prepareRelay(flags *flag.FlagSet) runner {
	var process administered
	process.declare(flags)
	var options relay.Options
	flags.StringVar(&options.Target, "target", "", "`address` to carry connections to")
	return func(ctx context.Context, stdout io.Writer) error {
		r := relay.New(options)
		return process.serve(ctx, stdout, r, &r.Faults)
	}
}
