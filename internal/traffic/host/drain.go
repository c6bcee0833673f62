package host

import "sync"

// drain is the state of a planned stop. mu guards both fields.
type drain struct {
	mu          sync.Mutex
	stopping    bool
	stopStarted bool
}

// Drain starts a planned stop: new requests are refused as not run, the
// balancer and the peers are informed, partitions and leadership go to other
// hosts. Requests in flight continue, operators and peers are still answered,
// and the process does not end by itself.
func (h *Host) Drain() {
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	if h.drain.stopping || h.callers == nil {
		return
	}
	h.drain.stopping = true
	h.callers.RefuseRequests()
	h.control.AnnounceStop()
}

// Resume reverts Drain. It returns false if Stop has started: a host that is
// ending must not accept requests that it could only cut.
func (h *Host) Resume() bool {
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	if h.drain.stopStarted {
		return false
	}
	if h.drain.stopping {
		h.drain.stopping = false
		h.control.Resume()
		h.callers.AcceptRequests()
	}
	return true
}

// Stopping reports whether the host refuses new requests.
func (h *Host) Stopping() bool {
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	return h.drain.stopping
}

// InFlight returns the number of callers' requests in flight.
func (h *Host) InFlight() int64 {
	return h.callers.InFlight()
}

// drainForStop drains the host and prevents Resume.
func (h *Host) drainForStop() {
	h.Drain()
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	h.drain.stopStarted = true
}
