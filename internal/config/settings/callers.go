package settings

import (
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/unit"
)

// Callers limits the requests that callers may send to this host.
type Callers struct {
	// MaxBody is the greatest size of a request body.
	MaxBody unit.Bytes
	// DefaultDeadline applies to requests without a deadline; MaxDeadline is the
	// upper limit for all requests.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// DrainTimeout is how long a stopping host waits for requests in flight.
	DrainTimeout time.Duration
	// LameDuck is how long a stopping host still accepts requests while its health
	// page reports that it is stopping, so that the load balancer can direct
	// callers to other hosts.
	LameDuck time.Duration
	// MaxInFlight is the greatest number of concurrent requests.
	MaxInFlight int
}

func defaultCallers() Callers {
	return Callers{
		MaxBody:         4 * unit.Mebibyte,
		DefaultDeadline: 60 * time.Second,
		MaxDeadline:     10 * time.Minute,
		DrainTimeout:    10 * time.Minute,
		LameDuck:        5 * time.Second,
		MaxInFlight:     4096,
	}
}

var callersTable = jsonfile.Object[Callers]{
	Members: []jsonfile.Member[Callers]{
		jsonfile.Optional("MaxBody", func(c *Callers) *unit.Bytes { return &c.MaxBody },
			jsonfile.Bytes{
				Min: unit.Kibibyte,
				Max: 64 * unit.Mebibyte,
			},
			"The greatest size of a request's body."),
		jsonfile.Optional("DefaultDeadline", func(c *Callers) *time.Duration { return &c.DefaultDeadline },
			jsonfile.Duration{
				Min: 100 * time.Millisecond,
				Max: time.Hour,
			},
			"How long a request may take whose caller gives no deadline; at most MaxDeadline."),
		jsonfile.Optional("MaxDeadline", func(c *Callers) *time.Duration { return &c.MaxDeadline },
			jsonfile.Duration{
				Min: time.Second,
				Max: time.Hour,
			},
			"How long any request may take."),
		jsonfile.Optional("DrainTimeout", func(c *Callers) *time.Duration { return &c.DrainTimeout },
			jsonfile.Duration{
				Min: time.Second,
				Max: time.Hour,
			},
			"How long a stopping host lets requests in flight finish; at least MaxDeadline, so that a planned stop cuts none."),
		jsonfile.Optional("LameDuck", func(c *Callers) *time.Duration { return &c.LameDuck },
			jsonfile.Duration{
				Min: 0,
				Max: time.Minute,
			},
			"How long a stopping host serves on while its health page already answers 503: longer than the balancer takes to notice."),
		jsonfile.Optional("MaxInFlight", func(c *Callers) *int { return &c.MaxInFlight },
			jsonfile.Integer[int]{
				Min: 1,
				Max: 1_000_000,
			},
			"How many requests the host holds at once; it refuses the next as not run."),
	},
	Check: checkCallers,
}

func checkCallers(c *Callers, path string, faults *jsonfile.Faults) {
	if c.DefaultDeadline > c.MaxDeadline {
		faults.Add(jsonfile.MemberPath(path, "DefaultDeadline"), c.DefaultDeadline.String(), "at most MaxDeadline, "+c.MaxDeadline.String())
	}
	// With a shorter drain timeout, a planned stop would cut off the longest
	// requests.
	if c.DrainTimeout < c.MaxDeadline {
		faults.Add(jsonfile.MemberPath(path, "DrainTimeout"), c.DrainTimeout.String(), "at least MaxDeadline, "+c.MaxDeadline.String())
	}
}
