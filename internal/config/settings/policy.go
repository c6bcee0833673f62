package settings

import (
	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/unit"
)

// Routing says how a backend server is chosen for a request.
type Routing string

// The ways to choose a backend server.
const (
	// LeastCost takes the least expected time of two random candidates.
	LeastCost Routing = "LeastCost"
	// Random, RoundRobin and LeastReported are there to compare with.
	Random        Routing = "Random"
	RoundRobin    Routing = "RoundRobin"
	LeastReported Routing = "LeastReported"
)

// Policy says how the system decides between what its users weigh differently.
type Policy struct {
	Routing Routing
	// MovesWeight weighs moves of models against attainment: 0 looks at
	// attainment only, 1 at moves only.
	MovesWeight float64
	// RetryBudgetPercent is how many retries there may be for a hundred first
	// tries.
	RetryBudgetPercent int
	// LinkBudget is what this system may send over the link between regions each
	// way, a second, over all hosts of a region.
	LinkBudget unit.Bytes
}

func defaultPolicy() Policy {
	return Policy{
		Routing:            LeastCost,
		MovesWeight:        0.5,
		RetryBudgetPercent: 10,
		LinkBudget:         2816 * unit.Kibibyte, // 23 of the link's 30 megabits a second
	}
}

var policyTable = jsonfile.Object[Policy]{
	Members: []jsonfile.Member[Policy]{
		jsonfile.May("Routing", func(p *Policy) *Routing { return &p.Routing },
			jsonfile.Text[Routing]{
				OneOf: []Routing{LeastCost, Random, RoundRobin, LeastReported},
			},
			"How a backend server is chosen for a request; all but LeastCost are there to compare with."),
		jsonfile.May("MovesWeight", func(p *Policy) *float64 { return &p.MovesWeight },
			jsonfile.Number{
				Min: 0,
				Max: 1,
			},
			"What moves of models weigh against attainment: 0 looks at attainment only, 1 at moves only."),
		jsonfile.May("RetryBudgetPercent", func(p *Policy) *int { return &p.RetryBudgetPercent },
			jsonfile.Integer[int]{
				Min: 0,
				Max: 100,
			},
			"How many retries there may be for a hundred first tries."),
		jsonfile.May("LinkBudget", func(p *Policy) *unit.Bytes { return &p.LinkBudget },
			jsonfile.Bytes{
				Min: 0,
				Max: 100 * unit.Gibibyte,
			},
			"What all hosts of a region together may send to another region in a second; 0B keeps requests in their region."),
	},
}
