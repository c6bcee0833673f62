// Package experiment compares routing policies. For each case, policy, rate and
// seed it starts a fleet, sends it a load run, which is the same for each policy,
// and collects the summary. The report gives medians and ranges over the seeds. The
// load tool calls it.
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
// Run runs one fleet at a time and returns when all are done. Other work on the same
// machine affects the results.
//
// # Limits
//
// The fleet and the sender of its requests share one process and one machine;
// package fleet says what is not modelled. The results compare policies under the
// same requests on the same machine. They are not those of a real fleet, and where
// "sent late" is large, the machine was too slow even for a comparison.
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
	// Rates are multiples of the size's request rate; none means 1.
	Rates []float64
	// MovesWeight is the weight of moves in the hosts' placement policy.
	MovesWeight float64
	// Log is the logger of the hosts; nil discards their log.
	Log *zap.Logger
	// OnOutcome, if set, is called with each outcome as its run ends.
	OnOutcome func(*Outcome)
}

// Outcome is the result of one run.
type Outcome struct {
	Case    string
	Policy  settings.Routing
	Seed    uint64
	Rate    float64
	Summary result.Summary
}

// Report has the outcomes of all runs, in the order of the options.
type Report struct {
	Outcomes []Outcome
}

// setupLead is the time between the set-up of a load run and its first arrival.
const setupLead = 200 * time.Millisecond

// Run runs all combinations of cases, policies, rates and seeds, one after the
// other. On an error the report has the outcomes up to then.
func Run(ctx context.Context, options Options) (*Report, error) {
	if len(options.Rates) == 0 {
		options.Rates = []float64{1}
	}
	report := Report{}
	for _, each := range options.Cases {
		for _, policy := range options.Policies {
			for _, rate := range options.Rates {
				for _, seed := range options.Seeds {
					outcome, err := runOnce(ctx, &options, &each, Outcome{
						Case:   each.Name,
						Policy: policy,
						Seed:   seed,
						Rate:   rate,
					})
					if err != nil {
						return &report, errors.Wrapf(err, "%s, %s, seed %d", each.Name, policy, seed)
					}
					report.Outcomes = append(report.Outcomes, outcome)
					if options.OnOutcome != nil {
						options.OnOutcome(&outcome)
					}
				}
			}
		}
	}
	return &report, nil
}

// runOnce starts a fleet, sends it one load run and stops it.
func runOnce(ctx context.Context, options *Options, testCase *Case, outcome Outcome) (Outcome, error) {
	running, err := fleet.Start(ctx, fleet.Options{
		Size:        options.Size,
		Routing:     outcome.Policy,
		MovesWeight: options.MovesWeight,
		Log:         options.Log,
	})
	if err != nil {
		return outcome, errors.Wrap(err, "start")
	}
	outcome.Summary, err = runLoad(ctx, options, testCase, &outcome, running)
	if stopErr := running.Stop(); err == nil {
		err = errors.Wrap(stopErr, "stop")
	}
	return outcome, err
}

func runLoad(ctx context.Context, options *Options, testCase *Case, outcome *Outcome, running *fleet.Fleet) (result.Summary, error) {
	plan := options.Size.Plan()
	plan.RequestsPerSecond *= outcome.Rate
	if testCase.adjustPlan != nil {
		testCase.adjustPlan(&plan, options.Length)
	}
	before, err := running.Counters(ctx)
	if err != nil {
		return result.Summary{}, err
	}
	start := time.Now().Add(setupLead)
	injector := startFault(ctx, testCase, running, options, start)
	var collector result.Collector
	sender := openloop.Sender{
		Targets: running.Targets(),
		Record:  collector.Add,
	}
	err = sender.Run(ctx, demand.NewArrivals(plan, demand.Span{
		Seed:  outcome.Seed,
		Start: start,
		End:   start.Add(options.Length),
	}))
	injector.Kill(nil)
	if faultErr := injector.Wait(); err == nil {
		err = faultErr
	}
	summary := collector.Summary(options.Length, options.Size.Engines)
	if err != nil {
		return summary, err
	}
	after, err := running.Counters(ctx)
	if err != nil {
		return summary, err
	}
	summary.Fleet = counters.Compare(before, after, summary.Tokens, collector.NotRunRequests())
	return summary, nil
}
