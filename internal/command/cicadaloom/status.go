package cicadaloom

import (
	"flag"
)

const statusHelp = `Shows the state of the system as an entry host knows it, as JSON: the hosts and
the revision of the documents in force at each, who leads, the backend servers,
the replicas of each model, orders in doubt, and the newest moves with reasons.

  cicadaloom status -operators http://127.0.0.1:8081
`

func init() {
	register(command{
		name:    "status",
		summary: "show hosts, models, moves and what is in force",
		help:    statusHelp,
		prepare: prepareStatus,
	})
}

func prepareStatus(flags *flag.FlagSet) runner {
	c := clientFlags(flags)
	return func(to streams, args []string) error {
		if len(args) > 0 {
			return badInput("arguments: found %q, allowed only flags", args)
		}
		got, err := c.get("/admin/status")
		if err != nil {
			return err
		}
		_, err = to.out.Write(got.body)
		return err
	}
}
