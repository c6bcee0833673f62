package settings

import (
	"time"

	"cicadaloom/internal/config/jsonfile"
)

// Control has the intervals and timeouts of the control plane.
type Control struct {
	// ReportInterval is the time between two report requests to the same engine,
	// ListInterval between two reads of the host list, and ExchangeInterval between
	// two exchanges with peers.
	ReportInterval   time.Duration
	ListInterval     time.Duration
	ExchangeInterval time.Duration
	// PlanInterval is the time between two placement checks of the leader.
	PlanInterval time.Duration
	// LeaderLease is how long the planning leader's lease lasts unless renewed.
	LeaderLease time.Duration
	// WatchSilence is how long a watch may receive nothing before it is restarted.
	WatchSilence time.Duration
	// CallTimeout is the timeout of one call to the platform or to a peer.
	CallTimeout time.Duration
}

func defaultControl() Control {
	return Control{
		ReportInterval:   500 * time.Millisecond,
		ListInterval:     time.Second,
		ExchangeInterval: time.Second,
		PlanInterval:     time.Second,
		LeaderLease:      5 * time.Second,
		WatchSilence:     5 * time.Second,
		CallTimeout:      2 * time.Second,
	}
}

var controlTable = jsonfile.Object[Control]{
	Members: []jsonfile.Member[Control]{
		jsonfile.Optional("ReportInterval", func(c *Control) *time.Duration { return &c.ReportInterval }, intervalCodec(),
			"Between two reports asked of one engine."),
		jsonfile.Optional("ListInterval", func(c *Control) *time.Duration { return &c.ListInterval }, intervalCodec(),
			"Between two readings of the host list."),
		jsonfile.Optional("ExchangeInterval", func(c *Control) *time.Duration { return &c.ExchangeInterval }, intervalCodec(),
			"Between two exchanges with other entry hosts."),
		jsonfile.Optional("PlanInterval", func(c *Control) *time.Duration { return &c.PlanInterval }, intervalCodec(),
			"Between two looks of the leader at the placement."),
		jsonfile.Optional("LeaderLease", func(c *Control) *time.Duration { return &c.LeaderLease },
			jsonfile.Duration{
				Min: time.Second,
				Max: time.Minute,
			},
			"How long the planning leader's lease lasts unless kept; at least twice CallTimeout. The same on every host."),
		jsonfile.Optional("WatchSilence", func(c *Control) *time.Duration { return &c.WatchSilence },
			jsonfile.Duration{
				Min: time.Second,
				Max: time.Minute,
			},
			"How long a watch may give no sign of life before it is given up and everything is read again."),
		jsonfile.Optional("CallTimeout", func(c *Control) *time.Duration { return &c.CallTimeout },
			jsonfile.Duration{
				Min: 10 * time.Millisecond,
				Max: 30 * time.Second,
			},
			"How long one call to the platform or to another entry host may take."),
	},
	Check: checkControl,
}

// intervalCodec limits an interval: a shorter one would exceed the budget for
// control traffic, a longer one would delay reactions by more than seconds.
func intervalCodec() jsonfile.Duration {
	return jsonfile.Duration{
		Min: 20 * time.Millisecond,
		Max: 10 * time.Second,
	}
}

// minCallsPerLease is the number of timed-out calls that a lease must outlast.
const minCallsPerLease = 2

func checkControl(c *Control, path string, faults *jsonfile.Faults) {
	// If a lease could expire during one slow call, the leader would change each
	// time the key-value service is slow.
	if c.LeaderLease < minCallsPerLease*c.CallTimeout {
		faults.Add(jsonfile.MemberPath(path, "LeaderLease"), c.LeaderLease.String(),
			"at least twice CallTimeout, "+(minCallsPerLease*c.CallTimeout).String())
	}
}
