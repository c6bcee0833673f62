package standin

import (
	"context"
	"flag"
	"net/http"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/standin/etcd"
)

const etcdHelp = `Serves the part of the etcd v3 wire protocol that entry hosts speak, in memory.

  POST /faults on -admin   sets the fault switches, GET /faults shows them
  GET /stats on -admin     the calls by kind, and those over a quota

The switches: Down, Slow, MaxDelay, LoseAnswers, LapseLeases, SilentWatches.
`

func init() {
	commands.Register(program.Command{
		Name:    "etcd",
		Summary: "the platform's key-value service",
		Help:    etcdHelp,
		Prepare: prepareEtcd,
	})
}

func prepareEtcd(flags *flag.FlagSet) program.Runner {
	var f adminFlags
	f.declare(flags)
	var options etcd.Options
	flags.IntVar(&options.WritesPerSecond, "writes", 0, "`writes` a second that are carried out; 0 takes the default")
	flags.IntVar(&options.ReadsPerSecond, "reads", 0, "`reads` a second that are carried out; 0 takes the default")
	return func(ctx context.Context, to program.Streams, _ []string) error {
		server := etcd.New(options)
		return f.serve(ctx, to.Out, etcdStandIn{
			Server: server,
		}, etcdFaults{
			Server:  server,
			Handler: server.AdminHandler(),
		})
	}
}

// etcdFaults has the fault switches of the key-value service's stand-in; its handler
// also serves the statistics.
type etcdFaults struct {
	*etcd.Server
	http.Handler
}

// etcdStandIn adapts etcd.Server to standIn: Start returns the address as a string.
type etcdStandIn struct {
	*etcd.Server
}

// Start implements standIn.
func (p etcdStandIn) Start(listen string) (string, error) {
	address, err := p.Server.Start(listen)
	if err != nil {
		return "", err
	}
	return address.String(), nil
}
