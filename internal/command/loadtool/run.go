package loadtool

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/load/counters"
	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/openloop"
	"cicadaloom/internal/load/result"
)

const runHelp = `Sends a plan's requests at their instants, whatever is still open, and prints
what became of them. The same plan and seed give the same requests.

  loadtool run -plan kerlouan.load.json -targets 127.0.0.1:8080,127.0.0.1:8090 \
      -seed 7 -for 30s -accelerators 24 -out result.json \
      -status http://127.0.0.1:8081,... -token ADMIN-TOKEN -engines 127.0.0.1:9001,...

Attainment is the share of all requests asked for that were answered whole and
right with the first token, and the mean time between tokens, within the plan's
promise. Moves come from -status, which has to name all entry hosts, since each
counts only those that it ordered itself; overcommits, retries, wasted tokens and
untrue refusals from the statistics of -engines, where plain services may stand
too. SIGINT ends the load early and prints what there is.
`

func init() {
	commands.Register(program.Command{
		Name:    "run",
		Summary: "send a load to entry hosts",
		Help:    runHelp,
		Prepare: prepareRun,
	})
}

// runFlags are the flags of the run command.
type runFlags struct {
	plan         string
	targets      string
	seed         uint64
	length       time.Duration
	out          string
	accelerators int
	maxOpen      int
	rate         float64
	status       string
	token        string
	engines      string
}

// startDelay is the time from the start of the load to its first possible request.
const startDelay = 100 * time.Millisecond

func prepareRun(flags *flag.FlagSet) program.Runner {
	var f runFlags
	flags.StringVar(&f.plan, "plan", "", "the plan's `file`")
	flags.StringVar(&f.targets, "targets", "", "callers' `addresses` of entry hosts, with commas")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the requests")
	flags.DurationVar(&f.length, "for", 30*time.Second, "length of the load")
	flags.StringVar(&f.out, "out", "", "`file` for the result as JSON")
	flags.IntVar(&f.accelerators, "accelerators", 0, "accelerators that the fleet has")
	flags.IntVar(&f.maxOpen, "max-open", openloop.DefaultMaxOpen, "requests that may be open at once")
	flags.Float64Var(&f.rate, "rate", 0, "requests a second, in place of the plan's")
	flags.StringVar(&f.status, "status", "", "`URLs` of all entry hosts' sides for operators, with commas")
	flags.StringVar(&f.token, "token", "", "the administrators' `token` there")
	flags.StringVar(&f.engines, "engines", "", "`addresses` of engines and plain services, with commas")
	return f.run
}

func (f *runFlags) run(ctx context.Context, to program.Streams, _ []string) error {
	if f.plan == "" || f.targets == "" || f.length <= 0 {
		return program.InputErrorf("found no -plan, no -targets or a -for of 0, allowed all three")
	}
	plan, err := demand.ReadFile(f.plan)
	if err != nil {
		return err
	}
	if f.rate > 0 {
		plan.RequestsPerSecond = f.rate
	}
	summary, err := f.load(ctx, plan)
	if err != nil {
		return err
	}
	fmt.Fprintf(to.Out, "%s", summary.Table())
	if f.out == "" {
		return nil
	}
	body, err := summary.JSON()
	if err != nil {
		return errors.Wrap(err, "-out")
	}
	return errors.Wrap(os.WriteFile(f.out, body, 0o644), "-out")
}

// load sends the load, and reads the fleet's counters before and after it.
func (f *runFlags) load(ctx context.Context, plan demand.Plan) (*result.Summary, error) {
	reader := counters.Reader{
		StatusURLs:      split(f.status),
		Token:           f.token,
		ServerAddresses: split(f.engines),
	}
	before, err := reader.Read(ctx)
	if err != nil {
		return nil, err
	}
	var collector result.Collector
	load := openloop.Sender{
		Targets: split(f.targets),
		MaxOpen: f.maxOpen,
		Record:  collector.Add,
	}
	start := time.Now().Add(startDelay)
	err = load.Run(ctx, demand.NewArrivals(plan, demand.Span{
		Seed:  f.seed,
		Start: start,
		End:   start.Add(f.length),
	}))
	length := f.length
	if err != nil {
		if ctx.Err() == nil {
			return nil, err
		}
		length = time.Since(start)
	}
	summary := collector.Summary(length, f.accelerators)
	if f.status == "" && f.engines == "" {
		return &summary, nil
	}
	// After a cancelled load the counters are read all the same, so without cancellation.
	after, err := reader.Read(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	summary.Fleet = counters.Compare(before, after, summary.Tokens, collector.NotRunRequests())
	return &summary, nil
}

// split returns the items of a comma-separated list, without blanks and empty items.
func split(list string) []string {
	var items []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
