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

// Case is what happens to a fleet during a load.
type Case struct {
	Name    string
	Summary string
	// shape changes the plan of a load of that length.
	shape func(plan *demand.Plan, length time.Duration)
	// after is the part of the length after which fault is switched on; 0 is
	// before the first arrival.
	after float64
	fault func(running *fleet.Fleet, main ident.ModelName) error
}

// How hard the cases are.
const (
	burstFactor = 10
	// burstBase is the part of the ordinary rate that a burst starts from: ten
	// times as much then is what all engines together can just do.
	burstBase  = 0.2
	burstFrom  = 0.375
	burstSpan  = 0.25
	shortLag   = 2 * time.Second
	longLag    = 10 * time.Second
	slowFactor = 5
	early      = 0.25
	halfway    = 0.5
)

// cases are all cases, the plainest first.
var cases = []Case{
	{
		Name:    "normal",
		Summary: "an ordinary day's rate, about half of what the engines can do",
	},
	{
		Name:    "burst",
		Summary: "a fifth of the ordinary rate, tenfold for a quarter of the time",
		shape:   burst,
	},
	{
		Name:    "lag2s",
		Summary: "reports are 2 s old",
		fault:   reportLag(shortLag),
	},
	{
		Name:    "lag10s",
		Summary: "reports are 10 s old",
		fault:   reportLag(longLag),
	},
	{
		Name:    "hang",
		Summary: "one engine with the main model takes requests and never answers, from a quarter of the time on",
		after:   early,
		fault: onMainEngine(engine.Faults{
			FreezeRequests: true,
		}),
	},
	{
		Name:    "slow",
		Summary: "one engine with the main model is five times as slow, from a quarter of the time on",
		after:   early,
		fault: onMainEngine(engine.Faults{
			SlowFactor: slowFactor,
		}),
	},
	{
		Name:    "kill",
		Summary: "one entry host ends at half of the time and cuts its requests; it stays in the host list",
		after:   halfway,
		fault: func(running *fleet.Fleet, _ ident.ModelName) error {
			running.Kill(len(running.Hosts) - 1)
			return nil
		},
	},
	{
		Name:    "kvdown",
		Summary: "the key-value service is down all the time, after the documents came into force",
		fault: func(running *fleet.Fleet, _ ident.ModelName) error {
			running.KeyValue.SetFaults(etcd.Faults{
				Down: true,
			})
			return nil
		},
	},
}

// Cases gives all cases, the plainest first.
func Cases() []Case {
	return append([]Case(nil), cases...)
}

// CaseOf finds a case by its name.
func CaseOf(name string) (Case, bool) {
	for _, each := range cases {
		if each.Name == name {
			return each, true
		}
	}
	return Case{}, false
}

func burst(plan *demand.Plan, length time.Duration) {
	plan.RequestsPerSecond *= burstBase
	plan.Curve = demand.Curve{
		Kind:   demand.Burst,
		From:   time.Duration(burstFrom * float64(length)),
		For:    time.Duration(burstSpan * float64(length)),
		Factor: burstFactor,
	}
}

func reportLag(lag time.Duration) func(*fleet.Fleet, ident.ModelName) error {
	return func(running *fleet.Fleet, _ ident.ModelName) error {
		for _, one := range running.Engines {
			one.Faults.Set(engine.Faults{
				ReportLag: fault.Duration(lag),
			})
		}
		return nil
	}
}

// onMainEngine switches faults on at the first engine that holds the model.
func onMainEngine(faults engine.Faults) func(*fleet.Fleet, ident.ModelName) error {
	return func(running *fleet.Fleet, main ident.ModelName) error {
		for _, one := range running.Engines {
			report := one.Report()
			for i := range report.Residents {
				if report.Residents[i].Model == main && report.Residents[i].Ready {
					one.Faults.Set(faults)
					return nil
				}
			}
		}
		return errors.Errorf("no engine holds %s", main)
	}
}

// inject switches the case's fault on in its time. The goroutine ends when the
// tomb is killed, at the end of the load.
func inject(ctx context.Context, of *Case, running *fleet.Fleet, options *Options, start time.Time) *tomb.Tomb {
	var faults tomb.Tomb
	at := start.Add(time.Duration(of.after * float64(options.Length)))
	if of.after == 0 {
		at = time.Now()
	}
	faults.Go(func() error {
		if of.fault == nil {
			return nil
		}
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		select {
		case <-timer.C:
			return of.fault(running, options.Size.Models[0].Name)
		case <-faults.Dying():
			return nil
		case <-ctx.Done():
			return nil
		}
	})
	return &faults
}
