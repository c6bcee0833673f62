package host

import "sync"

// drain is how far a planned stop has come.
type drain struct {
	mu       sync.Mutex
	stopping bool
	ending   bool
}

// Drain begins a planned stop: new requests are refused as not run, the balancer
// and the peers are told, partitions and leadership go to other hosts. What is
// in flight goes on, operators and peers are still answered, and the process
// does not end by itself.
func (h *Host) Drain() {
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	if h.drain.stopping || h.callers == nil {
		return
	}
	h.drain.stopping = true
	h.callers.Refuse()
	h.control.Stopping()
}

// Resume takes Drain back. It tells false where Stop has begun: a host that ends
// must not take requests which it could only cut.
func (h *Host) Resume() bool {
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	if h.drain.ending {
		return false
	}
	if h.drain.stopping {
		h.drain.stopping = false
		h.control.Resume()
		h.callers.Admit()
	}
	return true
}

// Stopping tells whether the host takes no new requests.
func (h *Host) Stopping() bool {
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	return h.drain.stopping
}

// InFlight gives the number of callers' requests under way.
func (h *Host) InFlight() int64 {
	return h.callers.InFlight()
}

// end drains for good.
func (h *Host) end() {
	h.Drain()
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	h.drain.ending = true
}
