package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/quota"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/gatewaypeer"
)

const (
	// poolsPerRegion is how many hosts of a region may be its quota pool: the second one is
	// asked while the first does not answer.
	poolsPerRegion = 2
	// acquireTimeout is how long a quota pool may take to answer: a round trip within the
	// region, lendTimeout, and what a busy host adds.
	acquireTimeout = 300 * time.Millisecond
	// lendTimeout is how long the pool of another region may take to lend.
	lendTimeout = 150 * time.Millisecond
	// membershipInterval is how often a host asks its pool at least, to remain a member.
	membershipInterval = 300 * time.Millisecond
	// noLimitPoll is how often a host checks whether there are accounts with limits.
	noLimitPoll = time.Second
	// maxAdmitWait is how long a request may wait for its account to gain what it needs.
	maxAdmitWait = 100 * time.Millisecond
	// undecidedWait is how long a request waits while no pool can decide on it, undecidedPoll
	// how often it asks.
	undecidedWait = time.Second
	undecidedPoll = 50 * time.Millisecond
	// startingRetryAfter is when a client may retry whose account can't be checked yet, since
	// this host doesn't know the other hosts.
	startingRetryAfter = 300 * time.Millisecond
)

// quotaPools is this host's view of the quota pools, and its own pool.
type quotaPools struct {
	pool   *quota.Pool
	client quota.Client
	choice *quota.Choice
	// askedNanos is when this host last asked its pool, by steadyNanos.
	askedNanos atomic.Int64
	ownAddress string
}

// bootTime is the time on the clock that goes on while the machine is suspended. Its instants
// are comparable with each other only.
func bootTime() time.Time {
	return time.Unix(0, bootNanos())
}

// setHosts chooses the pools among the reachable hosts.
func (q *quotaPools) setHosts(hosts []pacing.Host, region ident.Region) {
	var ranked, lenders []string
	for of, regionHosts := range pacing.ByRegion(hosts) {
		picked := pacing.PickStrongHosts(regionHosts, "quota", poolsPerRegion)
		if of != region {
			lenders = append(lenders, picked[0].Address)
			continue
		}
		for i := range picked {
			ranked = append(ranked, picked[i].Address)
		}
	}
	slices.Sort(lenders)
	q.choice.SetPools(ranked, lenders)
}

// Admit implements relay.ControlPlane. If the pool of the region does not answer, the next one
// is asked, and in the end this host spends its own share. A request that has to wait for a
// moment only waits here: its client would lose more time by coming back.
func (g *Gateway) Admit(ctx context.Context, name ident.AccountName, cost account.Amount, priority int) quota.Grant {
	grant := g.acquireQuota(ctx, name, cost, priority)
	if grant.Granted || grant.RetryAfter > maxAdmitWait || ctx.Err() != nil {
		return grant
	}
	g.sleepUnless(grant.RetryAfter, ctx.Done())
	return g.acquireQuota(ctx, name, cost, priority)
}

// acquireQuota asks pools until one decides. While none can, since this host or the pools have
// just started or lost each other, the request waits for up to undecidedWait.
func (g *Gateway) acquireQuota(ctx context.Context, name ident.AccountName, cost account.Amount, priority int) quota.Grant {
	for until := time.Now().Add(undecidedWait); ctx.Err() == nil && time.Now().Before(until); {
		grant, outcome := g.askCurrentPool(ctx, name, cost, priority)
		switch outcome {
		case quotaDecided:
			return grant
		case quotaNotReady:
			g.sleepUnless(undecidedPoll, ctx.Done())
		case quotaUnanswered: // the next pool is current now
		}
	}
	return quota.Grant{
		RetryAfter: startingRetryAfter,
	}
}

// quotaOutcome is the outcome of asking the current pool.
type quotaOutcome int

const (
	quotaDecided quotaOutcome = iota
	quotaNotReady
	quotaUnanswered
)

func (g *Gateway) askCurrentPool(ctx context.Context, name ident.AccountName, cost account.Amount, priority int) (quota.Grant, quotaOutcome) {
	q := &g.quota
	now := bootTime()
	pool, idle := q.choice.Use(now)
	grant := quota.Grant{
		Account: name,
		Amount:  cost,
		Pool:    pool,
	}
	if pool == "" {
		return grant, quotaNotReady
	}
	if q.client.Spend(now, pool, name, cost) {
		grant.Granted = true
		return grant, quotaDecided
	}
	ask := q.client.NewAsk(now, pool, quota.Ask{
		Host:     g.options.Settings.Host.Name,
		Account:  name,
		Cost:     cost,
		Priority: priority,
		Idle:     idle,
	})
	answer, err := g.askPool(ctx, pool, ask)
	switch {
	case err != nil:
		return grant, quotaUnanswered
	case answer.NotReady:
		return grant, quotaNotReady
	}
	q.client.Apply(now, pool, name, &answer)
	grant.Granted, grant.RetryAfter = answer.Granted, answer.Wait
	return grant, quotaDecided
}

// Refund implements relay.ControlPlane.
func (g *Gateway) Refund(grant quota.Grant) {
	g.quota.client.Refund(grant)
}

// askPool asks a pool. One that does not answer isn't used for some time.
func (g *Gateway) askPool(ctx context.Context, address string, ask quota.Ask) (quota.Answer, error) {
	now := bootTime()
	g.quota.askedNanos.Store(steadyNanos())
	if address == g.quota.ownAddress {
		answer := g.Acquire(ctx, ask)
		if !answer.NotReady {
			g.quota.choice.Asked(now, address)
		}
		return answer, nil
	}
	limitedCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	answer, err := g.peers.Acquire(limitedCtx, address, ask)
	if !answer.NotReady && !gatewaypeer.IsUnreached(err) {
		g.quota.choice.Asked(now, address)
	}
	if err != nil && ctx.Err() == nil {
		g.quota.choice.Fail(now, address)
		g.log.Info("quota pool does not answer", zap.String("Pool", address), zap.Error(err))
	}
	return answer, err
}

// Acquire implements gatewaypeer.Handler.
func (g *Gateway) Acquire(ctx context.Context, ask quota.Ask) quota.Answer {
	answer := g.quota.pool.Acquire(bootTime(), ask)
	if answer.Granted || answer.NotReady || ask.Account == "" {
		return answer
	}
	return g.borrowQuota(ctx, &ask, answer)
}

// borrowQuota borrows the cost of a request that this host's pool has refused from the pools
// of other regions.
func (g *Gateway) borrowQuota(ctx context.Context, ask *quota.Ask, refusal quota.Answer) quota.Answer {
	now := bootTime()
	for _, address := range g.quota.choice.Lenders(now, ask.Account) {
		limitedCtx, cancel := context.WithTimeout(ctx, lendTimeout)
		lent, wait, err := g.peers.LendQuota(limitedCtx, address, ask.Account, ask.Cost)
		cancel()
		switch {
		case err != nil:
			g.log.Debug("borrowing from quota pool failed", zap.String("Pool", address), zap.Error(err))
		case lent >= ask.Cost:
			return quota.Answer{
				Granted: true,
			}
		default:
			refusal.Wait = min(refusal.Wait, wait)
		}
	}
	g.quota.choice.RefuseLoans(now, ask.Account)
	return refusal
}

// LendQuota implements gatewaypeer.Handler.
func (g *Gateway) LendQuota(name ident.AccountName, amount account.Amount) (account.Amount, time.Duration) {
	return g.quota.pool.Lend(bootTime(), name, amount)
}

// runQuotaMembership keeps this host a member of its pool while no requests do, and finds out
// when a pool that did not answer is back.
func (g *Gateway) runQuotaMembership() error {
	select {
	case <-g.routesKnown:
	case <-g.tomb.Dying():
	}
	for g.tomb.Alive() {
		if !g.quota.pool.HasLimits() {
			g.sleep(noLimitPoll)
			continue
		}
		g.sleep(membershipInterval)
		now := bootTime()
		g.retryPools(now)
		if steadyNanos()-g.quota.askedNanos.Load() < int64(membershipInterval) {
			continue
		}
		address, idle := g.quota.choice.Use(now)
		if address == "" {
			continue
		}
		ask := g.quota.client.NewAsk(now, address, quota.Ask{
			Host: g.options.Settings.Host.Name,
			Idle: idle,
		})
		if _, err := g.askPool(g.context(), address, ask); err != nil {
			g.log.Debug("membership in quota pool not renewed", zap.String("Pool", address), zap.Error(err))
		}
	}
	return nil
}

// retryPools finds out which of the pools that failed are back.
func (g *Gateway) retryPools(now time.Time) {
	for _, address := range g.quota.choice.Failed(now) {
		if g.answersPing(address) {
			g.quota.choice.Recover(address)
			continue
		}
		g.quota.choice.Fail(now, address)
	}
}

// answersPing asks a pool for a loan of nothing, which does not make this host a member.
func (g *Gateway) answersPing(address string) bool {
	ctx, cancel := context.WithTimeout(g.context(), acquireTimeout)
	defer cancel()
	_, _, err := g.peers.LendQuota(ctx, address, "", 0)
	return err == nil
}
