package etcd

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// callKind is a kind of call to the service, by which calls are counted.
type callKind int

const (
	callGet callKind = iota
	callList
	callSwap
	callWatch
	callProgress
	callGrantLease
	callRenewLease
	callRevokeLease
	callKindCount
)

var callNames = [callKindCount]string{
	callGet:         "get",
	callList:        "list",
	callSwap:        "swap",
	callWatch:       "watch",
	callProgress:    "progress",
	callGrantLease:  "grant_lease",
	callRenewLease:  "keep_lease",
	callRevokeLease: "revoke_lease",
}

// String returns the name that metrics and errors use.
func (k callKind) String() string {
	return callNames[k]
}

// callTotals are the metrics of the process, over all clients.
var callTotals = newCallTotals()

func newCallTotals() [callKindCount]*metrics.Counter {
	var totals [callKindCount]*metrics.Counter
	for kind := range callKindCount {
		name := fmt.Sprintf("cicadaloom_kv_calls_total{call=%q}", kind)
		totals[kind] = metrics.GetOrCreateCounter(name)
	}
	return totals
}

// callCounts counts one client's calls by kind.
type callCounts [callKindCount]atomic.Uint64

func (c *callCounts) increment(kind callKind) {
	c[kind].Add(1)
	callTotals[kind].Inc()
}

// Calls has the number of calls that a client has made, by kind. A watch counts once,
// when it starts; the platform counts its waiting too.
type Calls struct {
	Get         uint64
	List        uint64
	Swap        uint64
	Watch       uint64
	Progress    uint64
	GrantLease  uint64
	RenewLease  uint64
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
		RenewLease:  c.calls[callRenewLease].Load(),
		RevokeLease: c.calls[callRevokeLease].Load(),
	}
}
