package settings

import (
	"time"

	"cicadaloom/internal/config/jsonfile"
)

// Control has the pace of the work behind the requests.
type Control struct {
	// ReportInterval is between two reports asked of one engine, ListInterval
	// between two readings of the host list, ExchangeInterval between two
	// exchanges with peers.
	ReportInterval   time.Duration
	ListInterval     time.Duration
	ExchangeInterval time.Duration
	// PlanInterval is between two looks of the leader at the placement.
	PlanInterval time.Duration
	// LeaderLease is how long the planning leader's lease lasts unless kept.
	LeaderLease time.Duration
	// WatchSilence is how long a watch may give no sign of life.
	WatchSilence time.Duration
	// CallTimeout bounds one call to the platform or to a peer.
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
		jsonfile.May("ReportInterval", func(c *Control) *time.Duration { return &c.ReportInterval }, interval(),
			"Between two reports asked of one engine."),
		jsonfile.May("ListInterval", func(c *Control) *time.Duration { return &c.ListInterval }, interval(),
			"Between two readings of the host list."),
		jsonfile.May("ExchangeInterval", func(c *Control) *time.Duration { return &c.ExchangeInterval }, interval(),
			"Between two exchanges with other entry hosts."),
		jsonfile.May("PlanInterval", func(c *Control) *time.Duration { return &c.PlanInterval }, interval(),
			"Between two looks of the leader at the placement."),
		jsonfile.May("LeaderLease", func(c *Control) *time.Duration { return &c.LeaderLease },
			jsonfile.Duration{
				Min: time.Second,
				Max: time.Minute,
			},
			"How long the planning leader's lease lasts unless kept; at least twice CallTimeout. The same on every host."),
		jsonfile.May("WatchSilence", func(c *Control) *time.Duration { return &c.WatchSilence },
			jsonfile.Duration{
				Min: time.Second,
				Max: time.Minute,
			},
			"How long a watch may give no sign of life before it is given up and everything is read again."),
		jsonfile.May("CallTimeout", func(c *Control) *time.Duration { return &c.CallTimeout },
			jsonfile.Duration{
				Min: 10 * time.Millisecond,
				Max: 30 * time.Second,
			},
			"How long one call to the platform or to another entry host may take."),
	},
	Check: checkControl,
}

// interval bounds a pace: faster would spend the control budget, slower would
// let "within seconds" lapse.
func interval() jsonfile.Duration {
	return jsonfile.Duration{
		Min: 20 * time.Millisecond,
		Max: 10 * time.Second,
	}
}

// leaseCalls is how many timed-out calls a lease has to outlive.
const leaseCalls = 2

func checkControl(c *Control, path string, faults *jsonfile.Faults) {
	// A lease that lapses within one slow call would change leaders each time
	// the key-value service is slow.
	if c.LeaderLease < leaseCalls*c.CallTimeout {
		faults.Add(jsonfile.Join(path, "LeaderLease"), c.LeaderLease.String(),
			"at least twice CallTimeout, "+(leaseCalls*c.CallTimeout).String())
	}
}
