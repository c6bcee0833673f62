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
	// LeaderPollInterval is the time between two polls of the leader key by a
	// follower. Followers that take turns poll less often; see RegularPollers.
	LeaderPollInterval time.Duration
	// MinPlanInterval is the minimum time between two plan writes.
	MinPlanInterval time.Duration
	// ResendInterval is the time after which an unsettled order is sent again.
	ResendInterval time.Duration
	// MaxReportAge is how old a report may be for its server to get orders.
	MaxReportAge time.Duration
	// ServerTimeout is how long a listed server may be without a report before
	// its replicas are replaced.
	ServerTimeout time.Duration
	// MaxModelLoads and MaxAdapterLoads bound the loads in progress in the fleet.
	MaxModelLoads   int
	MaxAdapterLoads int
	// ModelLoadsPerSecond limits the rate at which model loads start.
	ModelLoadsPerSecond float64
	// MaxOrdersPerServer bounds the unsettled orders of one server. It must be
	// smaller than the number of settled orders that engines keep in their
	// reports.
	MaxOrdersPerServer int
}

// The defaults of Settings.
const (
	DefaultPages               = 256
	DefaultLeaderPollInterval  = 3 * time.Second
	DefaultMinPlanInterval     = time.Second
	DefaultResendInterval      = 3 * time.Second
	DefaultMaxReportAge        = 10 * time.Second
	DefaultServerTimeout       = 20 * time.Second
	DefaultMaxModelLoads       = 10
	DefaultMaxAdapterLoads     = 80
	DefaultModelLoadsPerSecond = 1.5
	DefaultMaxOrdersPerServer  = 16
)

func (s Settings) withDefaults() Settings {
	s.Pages = cmp.Or(s.Pages, DefaultPages)
	s.LeaderPollInterval = cmp.Or(s.LeaderPollInterval, DefaultLeaderPollInterval)
	s.MinPlanInterval = cmp.Or(s.MinPlanInterval, DefaultMinPlanInterval)
	s.ResendInterval = cmp.Or(s.ResendInterval, DefaultResendInterval)
	s.MaxReportAge = cmp.Or(s.MaxReportAge, DefaultMaxReportAge)
	s.ServerTimeout = cmp.Or(s.ServerTimeout, DefaultServerTimeout)
	s.MaxModelLoads = cmp.Or(s.MaxModelLoads, DefaultMaxModelLoads)
	s.MaxAdapterLoads = cmp.Or(s.MaxAdapterLoads, DefaultMaxAdapterLoads)
	s.ModelLoadsPerSecond = cmp.Or(s.ModelLoadsPerSecond, DefaultModelLoadsPerSecond)
	s.MaxOrdersPerServer = cmp.Or(s.MaxOrdersPerServer, DefaultMaxOrdersPerServer)
	return s
}
