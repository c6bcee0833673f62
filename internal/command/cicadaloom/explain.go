package cicadaloom

import (
	"context"
	"flag"
	"fmt"
	"net/url"

	"cicadaloom/internal/command/program"
)

const explainHelp = `Says why a request was refused or failed, by its request id; why an attempt was
lost, by its request's or its own id; or why a model was moved, by the order's
id. Without an id it shows the newest decisions.

  cicadaloom explain req-0f3a...
  cicadaloom explain -limit 20
  cicadaloom explain -format json ord-...

Callers find the request id in the header X-Request-Id of every answer, order
ids stand in "cicadaloom status". The host that is asked asks all others. A
team's token shows that team's decisions. Hosts keep the newest few thousand in
memory: those of a host that was replaced are gone.
`

func init() {
	commands.Register(program.Command{
		Name:             "explain",
		Summary:          "say why a request was refused or a model moved",
		Help:             explainHelp,
		AcceptsArguments: true,
		Prepare:          prepareExplain,
	})
}

func prepareExplain(flags *flag.FlagSet) program.Runner {
	c := declareClientFlags(flags)
	format := flags.String("format", "text", "the answer's `form`: text or json")
	limit := flags.Int("limit", 50, "the most `decisions` to show")
	return func(_ context.Context, to program.Streams, args []string) error {
		if len(args) > 1 {
			return program.InputErrorf("ID: found %d, allowed one or none; flags go before it", len(args))
		}
		if *format != "text" && *format != "json" {
			return program.InputErrorf("-format: found %q, allowed text or json", *format)
		}
		query := url.Values{
			"format": {*format},
			"limit":  {fmt.Sprint(*limit)},
		}
		if len(args) == 1 {
			query.Set("id", args[0])
		}
		got, err := c.get("/admin/decisions?" + query.Encode())
		if err != nil {
			return err
		}
		_, err = to.Out.Write(got.body)
		return err
	}
}
