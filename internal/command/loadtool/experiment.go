package loadtool

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/experiment"
)

const experimentHelp = `Runs whole fleets in this process on loopback (stand-ins of the platform, engines,
plain services, entry hosts), sends each the same load, and prints a table of
medians and ranges over the seeds.

  loadtool experiment -kerlouan -scale 0.25 -case normal,hang \
      -policies LeastCost,Random -seeds 1,2,3 -for 8s
  loadtool experiment -nour -case normal -sweep 0.5,1,1.5,2

With -sweep, multiples of the ordinary rate, it also prints the goodput at which
attainment falls through 95%. Nothing but loopback stands between the parts, and
all share this machine: compare policies with one another, not with a real fleet.

`

func init() {
	commands.Register(program.Command{
		Name:    "experiment",
		Summary: "compare policies on fleets in one process",
		Help:    experimentHelp + caseHelp(),
		Prepare: prepareExperiment,
	})
}

func caseHelp() string {
	var text strings.Builder
	text.WriteString("Cases:\n")
	for _, each := range experiment.Cases() {
		fmt.Fprintf(&text, "  %-8s %s\n", each.Name, each.Summary)
	}
	return text.String()
}

const maxPercent = 100

// maxEngines bounds the engines in one process: with more, the machine's capacity is
// measured rather than the fleet's.
const maxEngines = 40

var policies = []settings.Routing{
	settings.LeastCost, settings.Random, settings.RoundRobin, settings.LeastReported,
}

// experimentFlags are the flags of the experiment command.
type experimentFlags struct {
	users       userFlags
	scale       float64
	cases       string
	policies    string
	seeds       string
	sweep       string
	length      time.Duration
	rate        float64
	streamed    int
	movesWeight float64
	out         string
	log         string
}

func prepareExperiment(flags *flag.FlagSet) program.Runner {
	var f experimentFlags
	f.users.declare(flags)
	flags.Float64Var(&f.scale, "scale", 0.25, "part of the user's size")
	flags.StringVar(&f.cases, "case", "normal", "`cases`, with commas, or all")
	flags.StringVar(&f.policies, "policies", "all", "routing `policies`, with commas, or all")
	flags.StringVar(&f.seeds, "seeds", "1,2,3", "`seeds`, with commas")
	flags.StringVar(&f.sweep, "sweep", "", "growing `multiples` of the ordinary rate, with commas")
	flags.DurationVar(&f.length, "for", 8*time.Second, "length of each load")
	flags.Float64Var(&f.rate, "rate", 0, "requests a second, in place of the size's")
	flags.IntVar(&f.streamed, "streamed", -1, "`percent` of the chats that are streamed, in place of the size's")
	flags.Float64Var(&f.movesWeight, "moves-weight", settings.Default().Policy.MovesWeight, "the policy's weight of moves, 0 to 1")
	flags.StringVar(&f.out, "out", "", "`file` for the tables, beside standard output")
	flags.StringVar(&f.log, "log", "", "least `level` of what the hosts log to standard error, such as warn; without it nothing")
	return f.run
}

func (f *experimentFlags) run(ctx context.Context, to program.Streams, _ []string) error {
	options, err := f.options(to)
	if err != nil {
		return err
	}
	report, failed := experiment.Run(ctx, options)
	text := report.Table()
	if f.sweep != "" {
		text += "\n" + report.Sweep()
	}
	fmt.Fprintf(to.Out, "%s", text)
	if failed != nil {
		return failed
	}
	if f.out == "" {
		return nil
	}
	return errors.Wrap(os.WriteFile(f.out, []byte(text), 0o644), "-out")
}

func (f *experimentFlags) options(to program.Streams) (experiment.Options, error) {
	options := experiment.Options{
		Length:      f.length,
		MovesWeight: f.movesWeight,
		OnOutcome: func(o *experiment.Outcome) {
			fmt.Fprintf(to.Err, "%s %s rate %g seed %d: attainment %.1f%%, %d refused, %d cut, %d without answer; %v %v\n",
				o.Case, o.Policy, o.Rate, o.Seed, 100*o.Summary.Attainment, o.Summary.Refused, o.Summary.Cut,
				o.Summary.NoAnswer, o.Summary.Refusals, o.Summary.Causes)
		},
	}
	size, err := f.users.size(to, f.scale)
	if err != nil {
		return options, err
	}
	if size.Engines > maxEngines {
		return options, program.InputErrorf("-scale: found %g, which takes %d engines, allowed up to %d engines", f.scale, size.Engines, maxEngines)
	}
	if f.rate > 0 {
		size.RequestsPerSecond = f.rate
	}
	if f.streamed >= 0 {
		size.StreamedPercent = min(f.streamed, maxPercent)
	}
	options.Size = size
	if options.Log, err = hostLog(f.log); err != nil {
		return options, program.InputErrorf("-log: %v", err)
	}
	if err := f.readCases(to, &options); err != nil {
		return options, err
	}
	return options, f.readNumbers(to, &options)
}

func (f *experimentFlags) readCases(to program.Streams, options *experiment.Options) error {
	options.Cases = experiment.Cases()
	if f.cases != "all" {
		options.Cases = nil
		for _, name := range split(f.cases) {
			found, known := experiment.FindCase(name)
			if !known {
				return program.InputErrorf("-case: found %q, allowed are those of the help page", name)
			}
			options.Cases = append(options.Cases, found)
		}
	}
	options.Policies = policies
	if f.policies != "all" {
		options.Policies = nil
		for _, name := range split(f.policies) {
			if !slices.Contains(policies, settings.Routing(name)) {
				return program.InputErrorf("-policies: found %q, allowed %v", name, policies)
			}
			options.Policies = append(options.Policies, settings.Routing(name))
		}
	}
	return nil
}

func (f *experimentFlags) readNumbers(to program.Streams, options *experiment.Options) error {
	for _, item := range split(f.seeds) {
		seed, err := strconv.ParseUint(item, 10, 64)
		if err != nil {
			return program.InputErrorf("-seeds: found %q, allowed a whole number of at least 0", item)
		}
		options.Seeds = append(options.Seeds, seed)
	}
	for _, item := range split(f.sweep) {
		rate, err := strconv.ParseFloat(item, 64)
		if err != nil || rate <= 0 {
			return program.InputErrorf("-sweep: found %q, allowed a number above 0", item)
		}
		options.Rates = append(options.Rates, rate)
	}
	if len(options.Seeds) == 0 || f.length <= 0 || f.movesWeight < 0 || f.movesWeight > 1 {
		return program.InputErrorf("found no -seeds, a -for of 0 or a -moves-weight outside 0 to 1")
	}
	return nil
}

// hostLog returns the logger of the fleet's hosts, which writes to stderr; nil, for no
// log, if the level is empty.
func hostLog(level string) (*zap.Logger, error) {
	if level == "" {
		return nil, nil
	}
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "found %q", level)
	}
	config := zap.NewProductionConfig()
	config.Level = parsed
	config.Sampling = nil
	config.OutputPaths = []string{"stderr"}
	log, err := config.Build()
	return log, errors.Wrap(err, "log")
}
