// Package experiment compares policies: it runs a fleet for each case, policy
// and seed, sends it the same load, and tells medians and ranges over the seeds.
//
// # Usage
//
//	report, err := experiment.Run(ctx, experiment.Options{
//		Size:     size,
//		Cases:    cases,
//		Policies: []settings.Routing{settings.LeastCost, settings.Random},
//		Seeds:    []uint64{1, 2, 3},
//		Length:   8 * time.Second,
//	})
//	fmt.Print(report.Table())
//
// # What can be concluded
//
// A fleet shares one process and one machine with its load; package fleet says
// what it leaves out. Policies can be compared under one load on one machine.
// The figures are not those of a real fleet, and where "sent late" is large not
// even a comparison.
package experiment

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/counters"
	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/fleet"
	"cicadaloom/internal/load/openloop"
	"cicadaloom/internal/load/result"
	"cicadaloom/internal/load/sizes"
)

// Options say what to run.
type Options struct {
	Size     sizes.Size
	Cases    []Case
	Policies []settings.Routing
	Seeds    []uint64
	Length   time.Duration
	// Rates are multiples of the size's rate; none means 1.
	Rates []float64
	// MovesWeight is the hosts' policy weight of moves.
	MovesWeight float64
	// Log gets what the hosts log; nil drops it.
	Log *zap.Logger
	// Done, where set, is told of each run as it ends.
	Done func(*Outcome)
}

// Outcome is what one run gave.
type Outcome struct {
	Case    string
	Policy  settings.Routing
	Seed    uint64
	Rate    float64
	Summary result.Summary
}

// Report is what all runs gave, in the order of the options.
type Report struct {
	Outcomes []Outcome
}

// startLead is how long before the first arrival a load is set up.
const startLead = 200 * time.Millisecond

// Run runs all cases, policies, rates and seeds, one after the other.
func Run(ctx context.Context, options Options) (*Report, error) {
	if len(options.Rates) == 0 {
		options.Rates = []float64{1}
	}
	report := Report{}
	for _, each := range options.Cases {
		for _, policy := range options.Policies {
			for _, rate := range options.Rates {
				for _, seed := range options.Seeds {
					outcome, err := run(ctx, &options, &each, Outcome{
						Case:   each.Name,
						Policy: policy,
						Seed:   seed,
						Rate:   rate,
					})
					if err != nil {
						return &report, errors.Wrapf(err, "%s, %s, seed %d", each.Name, policy, seed)
					}
					report.Outcomes = append(report.Outcomes, outcome)
					if options.Done != nil {
						options.Done(&outcome)
					}
				}
			}
		}
	}
	return &report, nil
}

// run runs one fleet under one load.
func run(ctx context.Context, options *Options, of *Case, outcome Outcome) (Outcome, error) {
	running, err := fleet.Start(ctx, fleet.Options{
		Size:        options.Size,
		Routing:     outcome.Policy,
		MovesWeight: options.MovesWeight,
		Log:         options.Log,
	})
	if err != nil {
		return outcome, errors.Wrap(err, "start")
	}
	outcome.Summary, err = load(ctx, options, of, &outcome, running)
	if stopped := running.Stop(); err == nil {
		err = errors.Wrap(stopped, "stop")
	}
	return outcome, err
}

func load(ctx context.Context, options *Options, of *Case, outcome *Outcome, running *fleet.Fleet) (result.Summary, error) {
	plan := options.Size.Plan()
	plan.RequestsPerSecond *= outcome.Rate
	if of.shape != nil {
		of.shape(&plan, options.Length)
	}
	before, err := running.Counters(ctx)
	if err != nil {
		return result.Summary{}, err
	}
	start := time.Now().Add(startLead)
	faults := inject(ctx, of, running, options, start)
	var collector result.Collector
	sender := openloop.Load{
		Targets: running.Targets(),
		Record:  collector.Add,
	}
	err = sender.Run(ctx, demand.New(plan, demand.Span{
		Seed:  outcome.Seed,
		Start: start,
		End:   start.Add(options.Length),
	}))
	faults.Kill(nil)
	if failed := faults.Wait(); err == nil {
		err = failed
	}
	summary := collector.Summary(options.Length, options.Size.Engines)
	if err != nil {
		return summary, err
	}
	after, err := running.Counters(ctx)
	if err != nil {
		return summary, err
	}
	summary.Fleet = counters.Compare(before, after, summary.Tokens, collector.NotRun())
	return summary, nil
}
