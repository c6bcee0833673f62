package quota

import (
	"slices"
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	// poolBackoff is how long a pool that did not answer is not used again. Each change of
	// pools may let an account use a little more than its limit.
	poolBackoff = 3 * time.Second
	// startBackoff is the same for a host that started less than startTime ago: where all
	// hosts start together, those of the pools may be ready a moment later.
	startBackoff = 300 * time.Millisecond
	startTime    = 5 * time.Second
	// loanBackoff is how long an account that was refused a loan gets none.
	loanBackoff = 250 * time.Millisecond
)

// Choice is a host's choice of the pool that it asks, and of those that its own pool borrows
// from. Pools are named by their address. It is safe for concurrent use.
type Choice struct {
	own       string
	startedAt time.Time
	mu        sync.Mutex
	// ranked are the pools of the host's region, in order of preference; lenders are the first
	// pools of other regions.
	ranked  []string
	lenders []string
	// failedAt is when each pool that isn't used at present last failed.
	failedAt map[string]time.Time
	// askedAt is when the host last asked a pool, otherAskedAt when it asked one other than its
	// own; before that they are when the host started.
	askedAt      time.Time
	otherAskedAt time.Time
	// noLoanUntil is when each account may borrow again.
	noLoanUntil map[ident.AccountName]time.Time
}

// NewChoice returns the choice of a host whose own pool has an address, and which has just
// started: an earlier process of the host may have asked other pools until now.
func NewChoice(now time.Time, own string) *Choice {
	return &Choice{
		own:          own,
		startedAt:    now,
		askedAt:      now,
		otherAskedAt: now,
		failedAt:     make(map[string]time.Time),
		noLoanUntil:  make(map[ident.AccountName]time.Time),
	}
}

// SetPools sets the pools of the host's region, in order of preference, and those of others.
func (c *Choice) SetPools(ranked, lenders []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ranked, c.lenders = ranked, lenders
	for address := range c.failedAt {
		if !slices.Contains(ranked, address) {
			delete(c.failedAt, address)
		}
	}
}

// Use returns the pool to ask now: the host's own if no other is available, empty if there is
// none yet. It also returns how long ago the host asked a pool or started (Ask.Idle). Alone the
// host waits until it has left the pool that it asked before: its share would count twice
// otherwise, and hosts that are cut off one by one would add up.
func (c *Choice) Use(now time.Time) (string, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.askedAt)
	for _, address := range c.ranked {
		if _, hasFailed := c.failedAt[address]; hasFailed {
			continue
		}
		return address, idle
	}
	if now.Sub(c.otherAskedAt) < memberTTL {
		return "", 0
	}
	return c.own, idle
}

// Asked records that a pool was asked, and may count the host as a member from now on.
func (c *Choice) Asked(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedAt = now
	if address != c.own {
		c.otherAskedAt = now
	}
}

// Fail records that a pool did not answer: it is not used until Recover.
func (c *Choice) Fail(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.own {
		c.failedAt[address] = now
	}
}

// Recover records that a pool answers again.
func (c *Choice) Recover(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failedAt, address)
}

// Failed returns the pools that have failed and may be tried again.
func (c *Choice) Failed(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	backoff := poolBackoff
	if now.Sub(c.startedAt) < startTime {
		backoff = startBackoff
	}
	var addresses []string
	for address, at := range c.failedAt {
		if now.Sub(at) >= backoff {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Lenders returns the pools to borrow from for an account, none if it was refused a loan
// lately.
func (c *Choice) Lenders(now time.Time, name ident.AccountName) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.noLoanUntil[name]) {
		return nil
	}
	return c.lenders
}

// RefuseLoans records that no pool lends to an account now.
func (c *Choice) RefuseLoans(now time.Time, name ident.AccountName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noLoanUntil[name] = now.Add(loanBackoff)
}
