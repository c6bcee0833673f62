// Package quota holds the limits of client accounts over all hosts: which requests fit into
// an account's rate and burst, wherever its clients connect.
//
// Each of N known hosts owns one N-th of every limit. The hosts of a region pool their
// shares at one host: a Pool has a token bucket per account, as large as the shares of the
// hosts that ask it, and grants tokens request by request. A pool that runs short borrows
// from the pool of another region. A host that can't reach its pool goes to the next one, or
// spends its own share alone. So whichever hosts are cut off, frozen or lost, the shares in
// use never add up to more than the limit, but for the time in which a host that has moved
// still counts at its former pool (memberTTL).
//
// A Client is the side of the host that serves the request. It keeps the tokens that a pool
// granted ahead of demand (Stock), and gives back those of requests that did not run.
//
// Grants from one place follow leased capacity as in Doorman (Google, 2016); granting ahead
// while an account is far from its limit is the local token bucket of DynamoDB's global
// admission control (Elhemali et al., USENIX ATC 2022).
//
// # Usage
//
//	pool := quota.NewPool(now, settings)
//	pool.SetHosts(75)
//	pool.SetAccounts(now, configuration.Accounts)
//	answer := pool.Acquire(now, quota.Ask{
//		Host:    "front-brest-a-1",
//		Account: "boats",
//		Cost:    1540,
//	})
//	if !answer.Granted {
//		// 429, Retry-After: answer.Wait
//	}
//
// # Clocks
//
// Times passed to this package must go on while the machine is suspended: a pool that wakes
// must find that its hosts have left.
//
// Nothing here starts goroutines. A Pool and a Client are safe for concurrent use.
package quota

import (
	"time"

	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
)

// Settings are the tolerances of the deployment: in any Window an account may use
// (1+Overshoot) times what its rate and burst allow, and Slack more.
type Settings struct {
	Window    time.Duration
	Overshoot float64
	Slack     account.Amount
}

// Ask is a host's request to a pool.
type Ask struct {
	Host ident.HostID
	// Account is empty in an ask that only keeps the host a member of the pool.
	Account ident.AccountName
	// Cost is what the request needs; Ahead is what the host would like to have on top of it
	// for the requests that follow.
	Cost  account.Amount
	Ahead account.Amount
	// Priority is that of the request's route. Near the limit the more urgent goes first.
	Priority int
	// Idle is how long ago the host last asked a pool, or started if it never did.
	Idle time.Duration
	// Returned are tokens granted earlier by this pool for requests that did not run.
	Returned []Refund
}

// Refund is an amount that an account gets back.
type Refund struct {
	Account ident.AccountName
	Amount  account.Amount
}

// Answer is a pool's answer to an Ask.
type Answer struct {
	// Granted reports whether the request may be served.
	Granted bool
	// Ahead is what was granted on top of the request's cost. It lapses after stockTTL.
	Ahead account.Amount
	// NotReady reports that the pool doesn't know yet among how many hosts it shares limits.
	NotReady bool
	// Wait is when the account is expected to have enough for a request that is refused now.
	Wait time.Duration
}

// Grant is the decision on one request.
type Grant struct {
	Granted bool
	Account ident.AccountName
	Amount  account.Amount
	// Pool is the address of the pool that granted the amount, or refused it.
	Pool string
	// RetryAfter is when the account is expected to have enough, if nothing was granted.
	RetryAfter time.Duration
}

const (
	// memberTTL is how long a host counts as a member of a pool after its last ask.
	memberTTL = time.Second
	// stockTTL is how long tokens that were granted ahead of demand can be spent.
	stockTTL = 500 * time.Millisecond
	// reservePerPriority is the part of a bucket that requests of a less urgent priority
	// leave to more urgent ones, for each step, up to maxReserveSteps.
	reservePerPriority = 0.02
	maxReserveSteps    = 3
	// maxWait bounds Answer.Wait.
	maxWait = 5 * time.Second
)

// capacity is how much an account may use at once, over all hosts. A part of the tolerance
// is added to the burst: an account whose burst is smaller than a request would otherwise
// have most of its requests refused. The rest is for the faster rate (Pool.rate), for tokens
// granted ahead, and for hosts that move from one pool to another.
func (s *Settings) capacity(limit *account.Limit) account.Amount {
	window := limit.Rate * account.Amount(s.Window.Seconds())
	tolerance := account.Amount(s.Overshoot)*(window+limit.Burst) + s.Slack
	moving := limit.Rate * account.Amount(memberTTL.Seconds())
	faster := window * account.Amount(s.Overshoot/2)
	return limit.Burst + max(tolerance-moving-faster, 0)/3
}
