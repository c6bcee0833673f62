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
	// reserveLimit is how long a pacer may take to answer: a way between regions and
	// back, and what a busy pacer takes. After it the prompt goes by this host's own clock,
	// to engines that may be full.
	reserveLimit = 200 * time.Millisecond
	// silentPacer is how long a pacer that did not answer isn't asked: the next one
	// is, and after that nobody.
	silentPacer = 1500 * time.Millisecond
	// holdFor is how long a prompt waits in the queue for one answer. Its host asks again
	// then, with the engines that have come meanwhile; a pacer of hundreds who wait answers
	// a thousand of them a second.
	holdFor = 400 * time.Millisecond
	// grantEvery is how often the queue looks whether an engine has read what was before
	// the next prompt: a part of what reading one takes.
	grantEvery = 10 * time.Millisecond
	// leaveLimit is how long the word that a place is free may take: after it, engines'
	// own words tell the same.
	leaveLimit = 500 * time.Millisecond
)

// pacers knows whom to ask about which engine.
type pacers struct {
	queue  pacing.Queue
	mu     sync.Mutex
	hosts  []pacing.Host
	silent map[ident.HostID]time.Time
	// ranked are the pacers that follow from the hosts, as far as they were asked for.
	ranked map[pacedKey][]pacing.Host
}

// pacedKey is what a pacer is chosen by.
type pacedKey struct {
	model  ident.ModelName
	region ident.Region
}

// set takes in the hosts, sorted by name. Most often they are those that were known.
func (p *pacers) set(hosts []pacing.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.hosts, hosts) {
		return
	}
	p.hosts = hosts
	p.ranked = make(map[pacedKey][]pacing.Host)
}

// rank gives the pacers for a model of a region's engines, the first one first.
func (p *pacers) rank(key pacedKey) []pacing.Host {
	ranked, known := p.ranked[key]
	if !known && len(p.hosts) > 0 {
		ranked = pacing.Pacers(p.hosts, key.model, key.region)
		p.ranked[key] = ranked
	}
	return ranked
}

// of gives the pacer for a model of the engines of a region; known is false where
// those that may be it did not answer lately.
func (p *pacers) of(now time.Time, model ident.ModelName, region ident.Region) (pacing.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := pacedKey{
		model:  model,
		region: region,
	}
	for _, host := range p.rank(key) {
		if !now.Before(p.silent[host.Name]) {
			return host, true
		}
	}
	return pacing.Host{}, false
}

func (p *pacers) fail(now time.Time, host ident.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = make(map[ident.HostID]time.Time)
	}
	p.silent[host] = now.Add(silentPacer)
}

// Paced implements gatewaypeer.Handler.
func (g *Gateway) Paced(ctx context.Context, prompt *pacing.Prompt) pacing.Slot {
	slot, waiter := g.pacers.queue.Ask(time.Now(), prompt)
	if waiter == nil {
		return slot
	}
	select {
	case g.queued <- struct{}{}:
	default: // it will look anyway
	}
	timer := time.NewTimer(holdFor)
	defer timer.Stop()
	select {
	case granted := <-waiter.Granted:
		return granted
	case <-timer.C:
	case <-ctx.Done():
	}
	g.pacers.queue.Leave(waiter)
	select {
	case granted := <-waiter.Granted: // in the last moment
		if ctx.Err() == nil {
			return granted
		}
		g.Left(granted.Server, prompt.Ticket)
	default:
	}
	return slot
}

// Left implements gatewaypeer.Handler.
func (g *Gateway) Left(server ident.ServerName, ticket pacing.Ticket) {
	g.pacers.queue.Ended(time.Now(), server, ticket)
}

// grantPrompts lets prompts go whose engine has come free by the clock. It looks only while
// there are any: most hosts of a large fleet pace nothing, and a hundred looks a second at
// each of them would cost the fleet as much as its words do.
func (g *Gateway) grantPrompts() error {
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.queued:
		}
		for g.tomb.Alive() && g.pacers.queue.Waiting() > 0 {
			g.sleep(grantEvery)
			g.pacers.queue.Grant(time.Now())
		}
	}
}

// Reserve implements relay.Knowledge. The engines of this host's region are asked
// for first. Where they have so much before them that another region's would be
// quicker if they were free, that region's pacer is asked, and has it if it is. Where
// neither is free, the prompt waits for its own region's.
func (g *Gateway) Reserve(ctx context.Context, model ident.ModelName, prompt *pacing.Prompt) (pacing.Slot, func()) {
	near, far := g.byRegion(prompt.Candidates)
	if len(near) == 0 {
		near, far = far, nil
	}
	asked := *prompt
	asked.Candidates = near
	if len(far) == 0 {
		asked.Holds = true
		return g.reserve(ctx, model, asked)
	}
	asked.Most = pacing.LeastCost(far)
	slot, leave := g.reserve(ctx, model, asked)
	if slot.Booked {
		return slot, leave
	}
	asked.Candidates = far
	asked.Most = slot.Cost
	if there, leave := g.reserve(ctx, model, asked); there.Booked {
		return there, leave
	}
	asked.Candidates = near
	asked.Most = 0
	asked.Holds = true
	return g.reserve(ctx, model, asked)
}

// byRegion gives the engines of this host's region, and those of the other region that
// has most of them: they have different pacers.
func (g *Gateway) byRegion(offers []pacing.Candidate) ([]pacing.Candidate, []pacing.Candidate) {
	regions := make(map[ident.Region][]pacing.Candidate)
	for _, offer := range offers {
		regions[offer.Region] = append(regions[offer.Region], offer)
	}
	own := g.options.Settings.Host.Region
	var far []pacing.Candidate
	for region, there := range regions {
		if region != own && (len(there) > len(far) || len(there) == len(far) && region < far[0].Region) {
			far = there
		}
	}
	return regions[own], far
}

// reserve asks the pacer of engines that are all of one region. The function tells it
// that the prompt has left its place.
func (g *Gateway) reserve(ctx context.Context, model ident.ModelName, prompt pacing.Prompt) (pacing.Slot, func()) {
	now := time.Now()
	pacer, answers := g.pacers.of(now, model, prompt.Candidates[0].Region)
	if !answers {
		return g.ownSlot(ctx, prompt)
	}
	if pacer.Name == g.options.Settings.Host.Name {
		slot := g.Paced(ctx, &prompt)
		return slot, func() { g.Left(slot.Server, prompt.Ticket) }
	}
	limited, cancel := context.WithTimeout(ctx, holdFor+reserveLimit)
	defer cancel()
	slot, err := g.peers.Reserve(limited, pacer.Address, &prompt)
	if err == nil {
		return slot, func() { g.leavePlace(pacer, slot.Server, prompt.Ticket) }
	}
	if ctx.Err() == nil {
		g.log.Info("pacer does not answer", zap.String("Pacer", string(pacer.Name)), zap.String("Model", string(model)), zap.Error(err))
		g.pacers.fail(now, pacer.Name)
	}
	return g.ownSlot(ctx, prompt)
}

// leavePlace tells a pacer that a prompt keeps its place no longer. If the word is lost,
// engines' own words on their load make up for it.
func (g *Gateway) leavePlace(pacer pacing.Host, server ident.ServerName, ticket pacing.Ticket) {
	if !g.tomb.Alive() {
		return // an answer that outlives the host's own goroutines has nobody to tell
	}
	g.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(g.context(), leaveLimit)
		defer cancel()
		if err := g.peers.Leave(ctx, pacer.Address, server, ticket); err != nil {
			g.log.Debug("place not given back", zap.String("Pacer", string(pacer.Name)), zap.Error(err))
		}
		return nil
	})
}

// ownBlur is the part of a reading that is added to the costs of engines at random
// where no pacer answers: all hosts would send to the same engine otherwise.
const ownBlur = 0.5

// ownSlot goes by this host's own clocks.
func (g *Gateway) ownSlot(ctx context.Context, prompt pacing.Prompt) (pacing.Slot, func()) {
	blurred := slices.Clone(prompt.Candidates)
	for i := range blurred {
		blurred[i].Beside += time.Duration(ownBlur * rand.Float64() * float64(blurred[i].Reading))
	}
	prompt.Candidates = blurred
	slot := g.Paced(ctx, &prompt)
	return slot, func() { g.Left(slot.Server, prompt.Ticket) }
}
