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
	var process administered
	process.declare(flags)
	var options relay.Options
	flags.StringVar(&options.Target, "target", "", "`address` to carry connections to")
	return func(ctx context.Context, to program.Streams, _ []string) error {
		r := relay.New(options)
		return process.serve(ctx, to.Out, r, &r.Faults)
	}
}
