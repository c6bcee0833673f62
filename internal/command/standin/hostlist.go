package standin

import (
	"context"
	"flag"
	"io"

	"cicadaloom/internal/standin/hostlist"
)

const hostlistHelp = `Serves the list of live and leaving hosts, as it was some time ago.

  GET /hosts             the list
  PUT, DELETE /hosts/N   change the entry of N
  POST /faults           sets the fault switches, GET /faults shows them

The switches: Down, FreezeRequests, Lag.
`

func init() {
	register(command{
		name:    "hostlist",
		summary: "the platform's host list",
		help:    hostlistHelp,
		prepare: prepareHostlist,
	})
}

func prepareHostlist(flags *flag.FlagSet) runner {
	var process common
	process.declare(flags)
	var options hostlist.Options
	flags.DurationVar(&options.Lag, "lag", 0, "how old the served list is")
	return func(ctx context.Context, stdout io.Writer) error {
		list := hostlist.New(options)
		return process.serve(ctx, stdout, list, &list.Faults)
	}
}
