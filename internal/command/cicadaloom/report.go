package cicadaloom

import (
	"context"
	"flag"
	"net/url"

	"cicadaloom/internal/command/program"
)

const reportHelp = `Shows how fast each team, class and model burns its error budget, over all
entry hosts that answer: the share of requests answered in their promised time
over 5 minutes, 1 hour, 6 hours and 3 days, the budget left, the burn rate, and
what used most of it up.

  cicadaloom report
  cicadaloom report -format json
  cicadaloom report -format html > burn.html

A burn rate of 1 uses the budget up exactly within the window. Counts live in
the memory of the entry hosts: those of a host that was replaced are gone.
`

func init() {
	commands.Register(program.Command{
		Name:    "report",
		Summary: "report on service-level burn",
		Help:    reportHelp,
		Prepare: prepareReport,
	})
}

func prepareReport(flags *flag.FlagSet) program.Runner {
	c := declareClientFlags(flags)
	format := flags.String("format", "text", "the report's `form`: text, json or html")
	return func(_ context.Context, to program.Streams, _ []string) error {
		if *format != "text" && *format != "json" && *format != "html" {
			return program.InputErrorf("-format: found %q, allowed text, json or html", *format)
		}
		got, err := c.get("/admin/burn?format=" + url.QueryEscape(*format))
		if err != nil {
			return err
		}
		_, err = to.Out.Write(got.body)
		return err
	}
}
