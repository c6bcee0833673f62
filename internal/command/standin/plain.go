package standin

import (
	"context"
	"flag"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/plain"
)

const plainHelp = `Answers any request with an echo of it, and counts what it ran.

  POST /faults   sets the fault switches, GET /faults shows them
  GET /stats     shows the runs of each request id and each body

The switches: Down, FreezeRequests, CutAfterRun, Refuse, LeaveNow,
RequestLimit, RestFor, SayLeaving, WorkFor.
`

func init() {
	commands.Register(program.Command{
		Name:    "plain",
		Summary: "a plain service",
		Help:    plainHelp,
		Prepare: preparePlain,
	})
}

func preparePlain(flags *flag.FlagSet) program.Runner {
	var f listedFlags
	f.declare(flags, "plain")
	var options plain.Options
	var service string
	flags.StringVar(&service, "service", "plain", "`name` of the service in the host list")
	flags.IntVar(&options.Slots, "slots", plain.DefaultSlots, "requests that run at once")
	flags.IntVar(&options.QueueLimit, "queue", plain.DefaultQueueLimit, "requests that wait at most")
	flags.DurationVar(&options.WorkTime, "work", plain.DefaultWorkTime, "time that a request takes")
	return func(ctx context.Context, to program.Streams, _ []string) error {
		p := plain.New(options)
		return f.serveListed(ctx, to.Out, p, &p.Faults, backend.Server{
			Kind:    backend.KindService,
			Service: ident.ServiceName(service),
		})
	}
}
