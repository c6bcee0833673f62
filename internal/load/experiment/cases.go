package experiment

import (
	"context"
	"time"

	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/fleet"
	"cicadaloom/internal/standin/engine"
	"cicadaloom/internal/standin/etcd"
	"cicadaloom/internal/standin/fault"
)

// Case is a condition that a fleet is tested under: a change of the load plan, a
// fault, or neither.
type Case struct {
	Name    string
	Summary string
	// adjustPlan, if set, changes the plan for a load run of the given length.
	adjustPlan func(plan *demand.Plan, length time.Duration)
	// faultStart is when the fault is injected, as a fraction of the length of the
	// load run; 0 is before the first arrival.
	faultStart  float64
	injectFault func(running *fleet.Fleet, main ident.ModelName) error
}

// Parameters of the cases. Fractions are of the length of the load run, but for
// burstBaseFraction.
const (
	burstFactor = 10
	// burstBaseFraction is the fraction of the ordinary rate outside the burst. Ten
	// times as much is about the capacity of all engines together.
	burstBaseFraction   = 0.2
	burstStartFraction  = 0.375
	burstLengthFraction = 0.25
	shortReportLag      = 2 * time.Second
	longReportLag       = 10 * time.Second
	slowFactor          = 5
	quarterFraction     = 0.25
	halfFraction        = 0.5
)

// cases has all cases; the first one is the baseline.
var cases = []Case{
	{
		Name:    "normal",
		Summary: "an ordinary day's rate, about half of what the engines can do",
	},
	{
		Name:       "burst",
		Summary:    "a fifth of the ordinary rate, tenfold for a quarter of the time",
		adjustPlan: addBurst,
	},
	{
		Name:        "lag2s",
		Summary:     "reports are 2 s old",
		injectFault: delayReports(shortReportLag),
	},
	{
		Name:        "lag10s",
		Summary:     "reports are 10 s old",
		injectFault: delayReports(longReportLag),
	},
	{
		Name:       "hang",
		Summary:    "one engine with the main model takes requests and never answers, from a quarter of the time on",
		faultStart: quarterFraction,
		injectFault: injectIntoMainEngine(engine.Faults{
			FreezeRequests: true,
		}),
	},
	{
		Name:       "slow",
		Summary:    "one engine with the main model is five times as slow, from a quarter of the time on",
		faultStart: quarterFraction,
		injectFault: injectIntoMainEngine(engine.Faults{
			SlowFactor: slowFactor,
		}),
	},
	{
		Name:       "kill",
		Summary:    "one entry host ends at half of the time and cuts its requests; it stays in the host list",
		faultStart: halfFraction,
		injectFault: func(running *fleet.Fleet, _ ident.ModelName) error {
			running.Kill(len(running.Hosts) - 1)
			return nil
		},
	},
	{
		Name:    "kvdown",
		Summary: "the key-value service is down all the time, after the documents came into force",
		injectFault: func(running *fleet.Fleet, _ ident.ModelName) error {
			running.KeyValue.SetFaults(etcd.Faults{
				Down: true,
			})
			return nil
		},
	},
}

// Cases returns all cases; the first one is the baseline.
func Cases() []Case {
	return append([]Case(nil), cases...)
}

// FindCase returns the case of that name, or false.
func FindCase(name string) (Case, bool) {
	for _, each := range cases {
		if each.Name == name {
			return each, true
		}
	}
	return Case{}, false
}

func addBurst(plan *demand.Plan, length time.Duration) {
	plan.RequestsPerSecond *= burstBaseFraction
	plan.Curve = demand.Curve{
		Kind:   demand.Burst,
		From:   time.Duration(burstStartFraction * float64(length)),
		For:    time.Duration(burstLengthFraction * float64(length)),
		Factor: burstFactor,
	}
}

// delayReports returns a fault that makes the reports of all engines as old as lag.
func delayReports(lag time.Duration) func(*fleet.Fleet, ident.ModelName) error {
	return func(running *fleet.Fleet, _ ident.ModelName) error {
		for _, server := range running.Engines {
			server.Faults.Set(engine.Faults{
				ReportLag: fault.Duration(lag),
			})
		}
		return nil
	}
}

// injectIntoMainEngine sets faults at the first engine that has the main model
// loaded and ready.
func injectIntoMainEngine(faults engine.Faults) func(*fleet.Fleet, ident.ModelName) error {
	return func(running *fleet.Fleet, main ident.ModelName) error {
		for _, server := range running.Engines {
			report := server.Report()
			for i := range report.Residents {
				if report.Residents[i].Model == main && report.Residents[i].Ready {
					server.Faults.Set(faults)
					return nil
				}
			}
		}
		return errors.Errorf("no engine has model %s ready", main)
	}
}

// startFault starts a goroutine that injects the fault of the case at its time. It
// ends once the fault is injected, or when the tomb is killed at the end of the load
// run or the context ends.
func startFault(ctx context.Context, testCase *Case, running *fleet.Fleet, options *Options, start time.Time) *tomb.Tomb {
	var injector tomb.Tomb
	switchAt := start.Add(time.Duration(testCase.faultStart * float64(options.Length)))
	if testCase.faultStart == 0 {
		switchAt = time.Now()
	}
	injector.Go(func() error {
		if testCase.injectFault == nil {
			return nil
		}
		timer := time.NewTimer(time.Until(switchAt))
		defer timer.Stop()
		select {
		case <-timer.C:
			return testCase.injectFault(running, options.Size.Models[0].Name)
		case <-injector.Dying():
			return nil
		case <-ctx.Done():
			return nil
		}
	})
	return &injector
}
