package etcd

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// callKind is a kind of call that the platform counts.
type callKind int

const (
	callGet callKind = iota
	callList
	callSwap
	callWatch
	callProgress
	callGrantLease
	callKeepLease
	callRevokeLease
	callKinds
)

var callNames = [callKinds]string{
	callGet:         "get",
	callList:        "list",
	callSwap:        "swap",
	callWatch:       "watch",
	callProgress:    "progress",
	callGrantLease:  "grant_lease",
	callKeepLease:   "keep_lease",
	callRevokeLease: "revoke_lease",
}

// String gives the name that metrics and errors use.
func (k callKind) String() string {
	return callNames[k]
}

// callTotals are the process's counters over all clients.
var callTotals = newCallTotals()

func newCallTotals() [callKinds]*metrics.Counter {
	var totals [callKinds]*metrics.Counter
	for kind := range callKinds {
		name := fmt.Sprintf("cicadaloom_kv_calls_total{call=%q}", kind)
		totals[kind] = metrics.GetOrCreateCounter(name)
	}
	return totals
}

// callCounts counts one client's calls, in the metrics too.
type callCounts [callKinds]atomic.Uint64

func (c *callCounts) add(kind callKind) {
	c[kind].Add(1)
	callTotals[kind].Inc()
}

// Calls is how many calls a client has made. The waiting of a watch, which the
// platform counts too, isn't among them.
type Calls struct {
	Get         uint64
	List        uint64
	Swap        uint64
	Watch       uint64
	Progress    uint64
	GrantLease  uint64
	KeepLease   uint64
	RevokeLease uint64
}

// Calls returns the calls made so far, failed ones included.
func (c *Client) Calls() Calls {
	return Calls{
		Get:         c.calls[callGet].Load(),
		List:        c.calls[callList].Load(),
		Swap:        c.calls[callSwap].Load(),
		Watch:       c.calls[callWatch].Load(),
		Progress:    c.calls[callProgress].Load(),
		GrantLease:  c.calls[callGrantLease].Load(),
		KeepLease:   c.calls[callKeepLease].Load(),
		RevokeLease: c.calls[callRevokeLease].Load(),
	}
}
