package standin

import (
	"context"
	"flag"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/standin/relay"
)

const relayHelp = `Carries TCP connections to another address, and fails as networks do.

  POST /faults on -admin   sets the fault switches, GET /faults shows them

The switches: Cut, Swallow, Delay, BytesPerSecond.
`

func init() {
	commands.Register(program.Command{
		Name:    "relay",
		Summary: "a network between two processes",
		Help:    relayHelp,
		Prepare: prepareRelay,
	})
}

func prepareRelay(flags *flag.FlagSet) program.Runner {
	var f adminFlags
	f.declare(flags)
	var options relay.Options
	flags.StringVar(&options.Target, "target", "", "`address` to carry connections to")
	return func(ctx context.Context, to program.Streams, _ []string) error {
		r := relay.New(options)
		return f.serve(ctx, to.Out, r, &r.Faults)
	}
}
