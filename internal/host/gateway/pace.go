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
	// back with something to spare. After it the prompt goes by this host's own clock.
	reserveLimit = 100 * time.Millisecond
	// silentPacer is how long a pacer that did not answer isn't asked: the next one
	// is, and after that nobody.
	silentPacer = 1500 * time.Millisecond
)

// pacers knows whom to ask about which engine.
type pacers struct {
	clocks pacing.Clocks
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
func (g *Gateway) Paced(prompt *pacing.Prompt) pacing.Slot {
	return g.pacers.clocks.Reserve(time.Now(), prompt)
}

// Reserve implements relay.Knowledge. The engines of this host's region are asked
// for first. Where they have so much before them that another region's would be
// quicker if they were free, that region's pacer is asked, and has it if it is.
func (g *Gateway) Reserve(ctx context.Context, model ident.ModelName, offers []pacing.Candidate, limit time.Duration) pacing.Slot {
	near, far := g.byRegion(offers)
	if len(near) == 0 {
		near, far = far, nil
	}
	prompt := pacing.Prompt{
		Candidates: near,
		Limit:      limit,
	}
	if len(far) == 0 {
		return g.reserve(ctx, model, prompt)
	}
	prompt.Most = leastCost(far)
	slot := g.reserve(ctx, model, prompt)
	if slot.Booked {
		return slot
	}
	prompt.Candidates = far
	prompt.Most = slot.Cost
	if there := g.reserve(ctx, model, prompt); there.Booked {
		return there
	}
	prompt.Candidates = near
	prompt.Most = 0
	return g.reserve(ctx, model, prompt)
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

// leastCost is what the cheapest of some engines costs if nothing is before it.
func leastCost(offers []pacing.Candidate) time.Duration {
	least := offers[0].Reading + offers[0].Beside
	for i := range offers {
		least = min(least, offers[i].Reading+offers[i].Beside)
	}
	return least
}

// reserve asks the pacer of engines that are all of one region.
func (g *Gateway) reserve(ctx context.Context, model ident.ModelName, prompt pacing.Prompt) pacing.Slot {
	now := time.Now()
	pacer, answers := g.pacers.of(now, model, prompt.Candidates[0].Region)
	if !answers {
		return g.ownSlot(prompt)
	}
	if pacer.Name == g.options.Settings.Host.Name {
		return g.Paced(&prompt)
	}
	limited, cancel := context.WithTimeout(ctx, reserveLimit)
	defer cancel()
	slot, err := g.peers.Reserve(limited, pacer.Address, &prompt)
	if err == nil {
		return slot
	}
	if ctx.Err() == nil {
		g.log.Info("pacer does not answer", zap.String("Pacer", string(pacer.Name)), zap.String("Model", string(model)), zap.Error(err))
		g.pacers.fail(now, pacer.Name)
	}
	return g.ownSlot(prompt)
}

// ownBlur is the part of a reading that is added to the costs of engines at random
// where no pacer answers: all hosts would send to the same engine otherwise.
const ownBlur = 0.5

// ownSlot goes by this host's own clocks.
func (g *Gateway) ownSlot(prompt pacing.Prompt) pacing.Slot {
	blurred := slices.Clone(prompt.Candidates)
	for i := range blurred {
		blurred[i].Beside += time.Duration(ownBlur * rand.Float64() * float64(blurred[i].Reading))
	}
	prompt.Candidates = blurred
	return g.Paced(&prompt)
}
