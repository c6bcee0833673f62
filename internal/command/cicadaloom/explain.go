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

With -gateway it says instead where a request would go now, and why, without sending it; the URL is
that of the metrics of a "gateway" host:

  cicadaloom explain -gateway http://127.0.0.1:9464 -host boats.example -path /dispatch/7
  cicadaloom explain -gateway http://127.0.0.1:9464 -host notes.example -path /notes/ \
    -account harbour -model small -adapter a1 -tokens 800

It shows the route, the servers that could answer, and the parts of their costs in milliseconds. The
prompt scheduler, which may be another host, adds what it has booked at engines; the text of the
prompt isn't known, so what servers have cached of it isn't counted, nor is the account's limit. An
account is named, its key is never given.
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
	asked := declareExplainedRequest(flags)
	return func(_ context.Context, to program.Streams, args []string) error {
		if len(args) > 1 {
			return program.InputErrorf("ID: found %d, allowed one or none; flags go before it", len(args))
		}
		if *format != "text" && *format != "json" {
			return program.InputErrorf("-format: found %q, allowed text or json", *format)
		}
		if asked.gateway != "" {
			if len(args) > 0 {
				return program.InputErrorf("ID: found %q, allowed none with -gateway", args[0])
			}
			return asked.explain(to, *format)
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

// explainedRequest is a request of which a gateway host is asked where it would go.
type explainedRequest struct {
	gateway string
	query   url.Values
}

// explainedFields are the flags that describe the request, with their usage.
var explainedFields = map[string]string{
	"host":    "the `name` that the request is for",
	"path":    "the request's `path`",
	"account": "the `name` of the client account",
	"model":   "the `model` that it needs",
	"adapter": "the `adapter` that it needs",
	"tokens":  "the `number` of tokens of its prompt",
}

func declareExplainedRequest(flags *flag.FlagSet) *explainedRequest {
	asked := &explainedRequest{
		query: make(url.Values),
	}
	flags.StringVar(&asked.gateway, "gateway", "", "the `URL` of the metrics of a gateway host")
	for name, usage := range explainedFields {
		flags.Func(name, "with -gateway: "+usage, func(value string) error {
			asked.query.Set(name, value)
			return nil
		})
	}
	return asked
}

// explain asks the gateway host and prints its answer.
func (e *explainedRequest) explain(to program.Streams, format string) error {
	asking := client{
		base: e.gateway,
		http: newHTTPClient(),
	}
	e.query.Set("format", format)
	got, err := asking.get("/explain?" + e.query.Encode())
	if err != nil {
		return err
	}
	_, err = to.Out.Write(got.body)
	return err
}
