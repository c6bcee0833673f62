package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

const (
	// reserveTimeout is how long a prompt scheduler may take to answer, on top of the time
	// that a prompt waits in its queue: a round trip between regions, and the time that a busy
	// scheduler takes. After it this host chooses an engine by its own data, which may be full.
	reserveTimeout = 200 * time.Millisecond
	// schedulerBackoff is how long a scheduler that did not answer isn't asked: the next one
	// in rank is, and after that none. It doubles with each further failure, up to
	// maxSchedulerBackoff: each attempt delays a prompt, and the entry of a host that is gone
	// stays for hostLeaseDuration.
	schedulerBackoff    = 1500 * time.Millisecond
	maxBackoffDoublings = 2
	maxSchedulerBackoff = schedulerBackoff << maxBackoffDoublings
	// maxQueueWait is how long a prompt waits in a scheduler's queue during one call. The
	// calling host then asks again, with the engines that have been added meanwhile; a scheduler
	// with hundreds of waiting prompts answers a thousand such calls a second.
	maxQueueWait = 400 * time.Millisecond
	// grantInterval is how often a queue checks whether an engine has finished a prefill, so
	// that the next prompt may go: a fraction of the time of one prefill.
	grantInterval = 10 * time.Millisecond
	// releaseTimeout is how long the message that a slot is free may take: after it, the
	// engines' own load reports say the same.
	releaseTimeout = 500 * time.Millisecond
)

// promptSchedulers finds the host that schedules the prompts for a model in a region. Its
// queue holds the prompts that this host schedules itself. It is safe for many goroutines;
// mu guards the fields below it.
type promptSchedulers struct {
	queue            pacing.Queue
	mu               sync.Mutex
	hosts            []pacing.Host
	unavailableUntil map[ident.HostID]time.Time
	// failures counts the failed calls of schedulers that have not answered since.
	failures map[ident.HostID]int
	// ranked are the schedulers that follow from hosts, for the keys used so far.
	ranked map[schedulerKey][]pacing.Host
}

// schedulerKey is what a scheduler is chosen by.
type schedulerKey struct {
	model  ident.ModelName
	region ident.Region
}

// setHosts replaces the candidate hosts, sorted by name. Most often they are unchanged.
func (s *promptSchedulers) setHosts(hosts []pacing.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.hosts, hosts) {
		return
	}
	s.hosts = hosts
	s.ranked = make(map[schedulerKey][]pacing.Host)
}

// rankFor returns the schedulers for a key, in order of preference. The caller holds mu.
func (s *promptSchedulers) rankFor(key schedulerKey) []pacing.Host {
	ranked, known := s.ranked[key]
	if !known && len(s.hosts) > 0 {
		ranked = pacing.Schedulers(s.hosts, key.model, key.region)
		s.ranked[key] = ranked
	}
	return ranked
}

// find returns the scheduler for a model on a region's engines, and whether one has
// answered lately.
func (s *promptSchedulers) find(now time.Time, model ident.ModelName, region ident.Region) (pacing.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := schedulerKey{
		model:  model,
		region: region,
	}
	for _, scheduler := range s.rankFor(key) {
		if !now.Before(s.unavailableUntil[scheduler.Name]) {
			return scheduler, true
		}
	}
	return pacing.Host{}, false
}

func (s *promptSchedulers) markUnavailable(now time.Time, host ident.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailableUntil == nil {
		s.unavailableUntil = make(map[ident.HostID]time.Time)
		s.failures = make(map[ident.HostID]int)
	}
	if now.Before(s.unavailableUntil[host]) {
		return // a call that started before the failure
	}
	s.unavailableUntil[host] = now.Add(schedulerBackoff << min(s.failures[host], maxBackoffDoublings))
	s.failures[host]++
}

func (s *promptSchedulers) markAvailable(host ident.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failures, host)
}

// Schedule implements gatewaypeer.Handler.
func (g *Gateway) Schedule(ctx context.Context, prompt *pacing.Prompt) pacing.Reservation {
	reservation, waiter := g.schedulers.queue.Reserve(time.Now(), prompt)
	if waiter == nil {
		return reservation
	}
	select {
	case g.promptQueued <- struct{}{}:
	default: // a wakeup is pending
	}
	timer := time.NewTimer(maxQueueWait)
	defer timer.Stop()
	select {
	case granted := <-waiter.Granted:
		return granted
	case <-timer.C:
	case <-ctx.Done():
	}
	g.schedulers.queue.Remove(waiter)
	select {
	case granted := <-waiter.Granted: // granted before it was removed from the queue
		if ctx.Err() == nil {
			return granted
		}
		g.Release(granted.Server, prompt.Ticket)
	default:
	}
	return reservation
}

// Release implements gatewaypeer.Handler.
func (g *Gateway) Release(server ident.ServerName, ticket pacing.Ticket) {
	g.schedulers.queue.Release(time.Now(), server, ticket)
}

// runGrants grants slots to queued prompts once the time that their engines' last prefill
// should take is over. It polls only while prompts wait: most hosts of a large fleet schedule
// nothing, and a hundred checks a second at each of them would cost the fleet as much as its
// messages do.
func (g *Gateway) runGrants() error {
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.promptQueued:
		}
		for g.tomb.Alive() && g.schedulers.queue.Len() > 0 {
			g.sleep(grantInterval)
			g.schedulers.queue.GrantFree(time.Now())
		}
	}
}

// Reserve implements relay.ControlPlane. It first asks the scheduler of this host's region.
// If so much is queued there that a free engine of another region would answer sooner, it
// asks that region's scheduler for one. Where that has none either, the prompt waits in its
// own region's queue.
func (g *Gateway) Reserve(ctx context.Context, model ident.ModelName, prompt *pacing.Prompt) (pacing.Reservation, func()) {
	local, remote := g.splitByRegion(prompt.Candidates)
	if len(local) == 0 {
		local, remote = remote, nil
	}
	query := *prompt
	query.Candidates = local
	if len(remote) == 0 {
		query.MayWait = true
		return g.reserveInRegion(ctx, model, query)
	}
	query.MaxCost = pacing.MinCost(remote)
	reservation, release := g.reserveInRegion(ctx, model, query)
	if reservation.Booked {
		return reservation, release
	}
	elsewhere := *prompt
	elsewhere.Candidates = remote
	elsewhere.MaxCost = reservation.Cost
	seemsFull := !pacing.HasFreeSlot(remote)
	if !seemsFull {
		if reservation, release := g.reserveInRegion(ctx, model, elsewhere); reservation.Booked {
			return reservation, release
		}
	}
	query.MaxCost = 0
	query.MayWait = true
	reservation, release = g.reserveInRegion(ctx, model, query)
	if seemsFull && reservation.QueueFull {
		if reservation, release := g.reserveInRegion(ctx, model, elsewhere); reservation.Booked {
			return reservation, release
		}
	}
	return reservation, release
}

// splitByRegion returns the engines of this host's region, and those of the other region
// that has the most of them: each region has a scheduler of its own.
func (g *Gateway) splitByRegion(candidates []pacing.Candidate) ([]pacing.Candidate, []pacing.Candidate) {
	regions := make(map[ident.Region][]pacing.Candidate)
	for _, candidate := range candidates {
		regions[candidate.Region] = append(regions[candidate.Region], candidate)
	}
	ownRegion := g.options.Settings.Host.Region
	var remote []pacing.Candidate
	for region, group := range regions {
		if region != ownRegion && (len(group) > len(remote) || len(group) == len(remote) && region < remote[0].Region) {
			remote = group
		}
	}
	return regions[ownRegion], remote
}

// reserveInRegion asks the scheduler of engines that are all of one region. The returned
// function releases the slot.
func (g *Gateway) reserveInRegion(ctx context.Context, model ident.ModelName, prompt pacing.Prompt) (pacing.Reservation, func()) {
	now := time.Now()
	scheduler, found := g.schedulers.find(now, model, prompt.Candidates[0].Region)
	if !found {
		return g.reserveLocally(ctx, prompt)
	}
	if scheduler.Name == g.options.Settings.Host.Name {
		reservation := g.Schedule(ctx, &prompt)
		return reservation, func() { g.Release(reservation.Server, prompt.Ticket) }
	}
	limitedCtx, cancel := context.WithTimeout(ctx, maxQueueWait+reserveTimeout)
	defer cancel()
	reservation, err := g.peers.Reserve(limitedCtx, scheduler.Address, &prompt)
	if err == nil {
		g.schedulers.markAvailable(scheduler.Name)
		return reservation, func() { g.releaseRemote(scheduler, reservation.Server, prompt.Ticket) }
	}
	if ctx.Err() == nil {
		g.log.Info("prompt scheduler does not answer", zap.String("Pacer", string(scheduler.Name)), zap.String("Model", string(model)), zap.Error(err))
		g.schedulers.markUnavailable(now, scheduler.Name)
	}
	return g.reserveLocally(ctx, prompt)
}

// releaseRemote tells a scheduler that a prompt has released its slot. If the message is
// lost, the engines' load reports correct the scheduler's count.
func (g *Gateway) releaseRemote(scheduler pacing.Host, server ident.ServerName, ticket pacing.Ticket) {
	if !g.tomb.Alive() {
		return // the host has stopped, and starts no goroutine any more
	}
	g.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(g.context(), releaseTimeout)
		defer cancel()
		if err := g.peers.Leave(ctx, scheduler.Address, server, ticket); err != nil {
			g.log.Debug("slot not given back", zap.String("Pacer", string(scheduler.Name)), zap.Error(err))
		}
		return nil
	})
}

// localCostJitter is how much of a prefill's time is added to the engines' costs at
// random, at most, where no scheduler answers: all hosts would choose the same engine
// otherwise.
const localCostJitter = 0.5

// reserveLocally chooses an engine by this host's own queue.
func (g *Gateway) reserveLocally(ctx context.Context, prompt pacing.Prompt) (pacing.Reservation, func()) {
	candidates := slices.Clone(prompt.Candidates)
	for i := range candidates {
		candidates[i].OtherCost += time.Duration(localCostJitter * rand.Float64() * float64(candidates[i].PrefillTime))
	}
	prompt.Candidates = candidates
	reservation := g.Schedule(ctx, &prompt)
	return reservation, func() { g.Release(reservation.Server, prompt.Ticket) }
}
