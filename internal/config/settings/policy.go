package settings

import (
	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/unit"
)

// Routing is the strategy that chooses a backend server for a request.
type Routing string

// Routing strategies.
const (
	// LeastCost picks two random candidates and takes the one with the lower
	// expected time.
	LeastCost Routing = "LeastCost"
	// Random, RoundRobin and LeastReported are baselines for comparison.
	Random        Routing = "Random"
	RoundRobin    Routing = "RoundRobin"
	LeastReported Routing = "LeastReported"
)

// Policy has the trade-offs that depend on what the users of the system prefer.
type Policy struct {
	Routing Routing
	// MovesWeight is the weight of model moves against attainment in a plan: 0
	// considers only attainment, 1 only moves.
	MovesWeight float64
	// RetryBudgetPercent is the number of retries allowed per hundred first
	// attempts.
	RetryBudgetPercent int
	// LinkBudget is the amount per second and direction that all hosts of a region
	// together may send over the link to another region.
	LinkBudget unit.Bytes
}

func defaultPolicy() Policy {
	return Policy{
		Routing:            LeastCost,
		MovesWeight:        0.5,
		RetryBudgetPercent: 10,
		LinkBudget:         2816 * unit.Kibibyte, // 23 of the link's 30 megabits per second
	}
}

var policyTable = jsonfile.Object[Policy]{
	Members: []jsonfile.Member[Policy]{
		jsonfile.Optional("Routing", func(p *Policy) *Routing { return &p.Routing },
			jsonfile.Text[Routing]{
				OneOf: []Routing{LeastCost, Random, RoundRobin, LeastReported},
			},
			"How a backend server is chosen for a request; all but LeastCost are there to compare with."),
		jsonfile.Optional("MovesWeight", func(p *Policy) *float64 { return &p.MovesWeight },
			jsonfile.Number{
				Min: 0,
				Max: 1,
			},
			"What moves of models weigh against attainment: 0 looks at attainment only, 1 at moves only."),
		jsonfile.Optional("RetryBudgetPercent", func(p *Policy) *int { return &p.RetryBudgetPercent },
			jsonfile.Integer[int]{
				Min: 0,
				Max: 100,
			},
			"How many retries there may be for a hundred first tries."),
		jsonfile.Optional("LinkBudget", func(p *Policy) *unit.Bytes { return &p.LinkBudget },
			jsonfile.Bytes{
				Min: 0,
				Max: 100 * unit.Gibibyte,
			},
			"What all hosts of a region together may send to another region in a second; 0B keeps requests in their region."),
	},
}
