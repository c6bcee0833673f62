package orders

import (
	"cmp"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/ident"
)

// Settings configures a machine. Zero fields take the defaults.
type Settings struct {
	Host      ident.HostID
	Placement placement.Settings
	// Pages is the number of plan pages; a new server's page is chosen by the
	// hash of its name. It may be changed: servers that have a page stay there.
	Pages int
	// LeaderPoll is the time between two polls of the leader key by a
	// follower. Followers that take turns poll less often; see RegularPollers.
	LeaderPoll time.Duration
	// PlanEvery is the minimum time between two plan writes.
	PlanEvery time.Duration
	// ResendAfter is the time after which an unsettled order is sent again.
	ResendAfter time.Duration
	// FreshFor is how old a report may be for its server to get orders.
	FreshFor time.Duration
	// DeadAfter is how long a listed server may be without a report before
	// its replicas are replaced.
	DeadAfter time.Duration
	// ModelsInTransit and AdaptersInTransit bound the loads in progress in the fleet.
	ModelsInTransit   int
	AdaptersInTransit int
	// ModelStartsPerSecond limits the rate at which model loads start.
	ModelStartsPerSecond float64
	// OrdersPerServer bounds the unsettled orders of one server. It must be
	// smaller than the number of settled orders that engines keep in their
	// reports.
	OrdersPerServer int
}

// The defaults of Settings.
const (
	DefaultPages                = 256
	DefaultLeaderPoll           = 3 * time.Second
	DefaultPlanEvery            = time.Second
	DefaultResendAfter          = 3 * time.Second
	DefaultFreshFor             = 10 * time.Second
	DefaultDeadAfter            = 20 * time.Second
	DefaultModelsInTransit      = 10
	DefaultAdaptersInTransit    = 80
	DefaultModelStartsPerSecond = 1.5
	DefaultOrdersPerServer      = 16
)

func (s Settings) withDefaults() Settings {
	s.Pages = cmp.Or(s.Pages, DefaultPages)
	s.LeaderPoll = cmp.Or(s.LeaderPoll, DefaultLeaderPoll)
	s.PlanEvery = cmp.Or(s.PlanEvery, DefaultPlanEvery)
	s.ResendAfter = cmp.Or(s.ResendAfter, DefaultResendAfter)
	s.FreshFor = cmp.Or(s.FreshFor, DefaultFreshFor)
	s.DeadAfter = cmp.Or(s.DeadAfter, DefaultDeadAfter)
	s.ModelsInTransit = cmp.Or(s.ModelsInTransit, DefaultModelsInTransit)
	s.AdaptersInTransit = cmp.Or(s.AdaptersInTransit, DefaultAdaptersInTransit)
	s.ModelStartsPerSecond = cmp.Or(s.ModelStartsPerSecond, DefaultModelStartsPerSecond)
	s.OrdersPerServer = cmp.Or(s.OrdersPerServer, DefaultOrdersPerServer)
	return s
}
