// Package retries limits the retries that all entry hosts together send to a service.
//
// In any window a service may receive retries for a fraction of its requests, and some more
// that don't depend on requests. The hosts keep this budget without communication: each spends
// the fraction of the requests that it has received itself, and its own share of the rest.
// Their sum never exceeds the whole budget, whichever hosts are partitioned. A host can
// transfer tokens that it has left to a lender, which lends them to others (TakeSurplus, Receive,
// Lend).
//
// A Budget starts no goroutines; a mutex guards it. The relay takes a token before each retry.
//
// # Usage
//
//	budget := retries.New(retries.Options{
//		Ratio:  0.2,
//		Window: 10 * time.Second,
//		Slack:  54,
//	})
//	budget.SetHosts(7)
//	budget.CountRequest(now, "dispatch-desk")
//	if budget.Take(now, "dispatch-desk") {
//		// retry
//	}
package retries

import (
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

// usableFraction is the fraction of the budget that is used. A retry may arrive up to a second
// later than it is counted here, in a window that no longer has the host's own first sends.
const usableFraction = 0.7

// bucketsPerWindow is the number of buckets in which a window is counted.
const bucketsPerWindow = 20

// Options are the limits that the deployment sets.
type Options struct {
	// Ratio is the number of retries that one request allows.
	Ratio float64
	// Window is the time span within which the limits hold.
	Window time.Duration
	// Slack is the number of further retries allowed in a window, over all hosts.
	Slack float64
	// StartedAt is when this host's process started.
	StartedAt time.Time
}

// Budget counts the requests and retries of each service. It is safe for concurrent use by many
// goroutines.
type Budget struct {
	options  Options
	mu       sync.Mutex
	hosts    int
	services map[ident.ServiceName]*windowCounts
}

// windowCounts counts one service's requests and tokens over the last window.
type windowCounts struct {
	requests ring
	spent    ring
	// received and lent count the tokens that other hosts have transferred to this one, and
	// those of them that it has lent.
	received ring
	lent     ring
	newest   int64 // number of the newest bucket
}

// ring counts events by bucket.
type ring [bucketsPerWindow]int

func (r *ring) sum() int {
	sum := 0
	for _, n := range r {
		sum += n
	}
	return sum
}

// New returns the budget of one host, the only one until SetHosts is called.
func New(options Options) *Budget {
	return &Budget{
		options:  options,
		hosts:    1,
		services: make(map[ident.ServiceName]*windowCounts),
	}
}

// SetHosts sets the number of hosts that share the budget.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(hosts, 1)
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time, service ident.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(now, service)
	c.requests[c.newest%bucketsPerWindow]++
}

// Take spends one token, and returns whether one was left.
func (b *Budget) Take(now time.Time, service ident.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(now, service)
	if b.remaining(now, c) < 1 {
		return false
	}
	c.spent[c.newest%bucketsPerWindow]++
	return true
}

// remaining returns the number of tokens that this host has left in the window.
func (b *Budget) remaining(now time.Time, c *windowCounts) float64 {
	return usableFraction*(b.options.Ratio*float64(c.requests.sum())+b.ownSlack(now)) - float64(c.spent.sum())
}

// ownSlack returns this host's share of the slack. A process that has just started has none: it
// doesn't know what its previous incarnation has spent in the same window. If it spent its
// share again, a fleet that is killed while servers fail would exceed the budget by nearly
// half.
func (b *Budget) ownSlack(now time.Time) float64 {
	if now.Sub(b.options.StartedAt) < b.options.Window {
		return 0
	}
	return b.options.Slack / float64(b.hosts)
}

// countsAt returns a service's counts, with the ring advanced to now.
func (b *Budget) countsAt(now time.Time, service ident.ServiceName) *windowCounts {
	bucket := now.UnixNano() / max(int64(b.options.Window)/bucketsPerWindow, 1)
	c, known := b.services[service]
	if !known {
		c = &windowCounts{
			newest: bucket,
		}
		b.services[service] = c
	}
	for steps := 0; c.newest < bucket && steps < bucketsPerWindow; steps++ {
		c.newest++
		c.requests[c.newest%bucketsPerWindow] = 0
		c.spent[c.newest%bucketsPerWindow] = 0
		c.received[c.newest%bucketsPerWindow] = 0
		c.lent[c.newest%bucketsPerWindow] = 0
	}
	c.newest = max(c.newest, bucket)
	return c
}
