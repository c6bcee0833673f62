package cicadaloom

import (
	"context"
	"flag"

	"cicadaloom/internal/command/program"
)

const statusHelp = `Shows the state of the system as an entry host knows it, as JSON: the hosts and
the revision of the documents in force at each, who leads, the backend servers,
the replicas of each model, orders in doubt, and the newest moves with reasons.

  cicadaloom status -operators http://127.0.0.1:8081
`

func init() {
	commands.Register(program.Command{
		Name:    "status",
		Summary: "show hosts, models, moves and what is in force",
		Help:    statusHelp,
		Prepare: prepareStatus,
	})
}

func prepareStatus(flags *flag.FlagSet) program.Runner {
	c := declareClientFlags(flags)
	return func(_ context.Context, to program.Streams, _ []string) error {
		got, err := c.get("/admin/status")
		if err != nil {
			return err
		}
		_, err = to.Out.Write(got.body)
		return err
	}
}
