package standin

import (
	"context"
	"flag"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/standin/hostlist"
)

const hostlistHelp = `Serves the list of live and leaving hosts, as it was some time ago.

  GET /hosts             the list
  PUT, DELETE /hosts/N   change the entry of N
  POST /faults           sets the fault switches, GET /faults shows them

The switches: Down, FreezeRequests, Lag.
`

func init() {
	commands.Register(program.Command{
		Name:    "hostlist",
		Summary: "the platform's host list",
		Help:    hostlistHelp,
		Prepare: prepareHostlist,
	})
}

func prepareHostlist(flags *flag.FlagSet) program.Runner {
	var f commonFlags
	f.declare(flags)
	var options hostlist.Options
	flags.DurationVar(&options.Lag, "lag", 0, "how old the served list is")
	return func(ctx context.Context, to program.Streams, _ []string) error {
		list := hostlist.New(options)
		return f.serve(ctx, to.Out, list, &list.Faults)
	}
}
