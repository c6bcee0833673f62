package permits

import (
	"slices"
	"sync"
	"time"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

const (
	// issuersPerServer is how many hosts may issue permits for a server.
	issuersPerServer = 2
	// issuerBackoff is how long a host that did not answer isn't asked.
	issuerBackoff = 1500 * time.Millisecond
)

// Choice is a host's choice of the issuers that it asks, and its own rank among them.
type Choice struct {
	own ident.HostID
	mu  sync.Mutex
	// lists are the lists of hosts of the last settleTime, the current one last.
	lists            []*hostList
	unavailableUntil map[ident.HostID]time.Time
	// outOfTouchAt is when this host's list of hosts was last found not to be recent.
	outOfTouchAt time.Time
}

// hostList is a list of hosts and since when it has been known.
type hostList struct {
	hosts []pacing.Host
	since time.Time
	// issuers follow from hosts, for the servers asked for so far.
	issuers map[rankKey][]pacing.Host
}

type rankKey struct {
	server ident.ServerName
	region ident.Region
}

// Rank is a host's rank among the issuers of a server.
type Rank struct {
	// Position counts from 0; it is -1 for a host that is no issuer.
	Position int
	// Since is since when the host has had at least this rank, IssuerSince since when it has been
	// among the issuers, as far back as its lists of hosts go.
	Since       time.Time
	IssuerSince time.Time
	// Index is the host's place among Hosts hosts if it issues permits to itself only, since it
	// reaches no issuer. Hosts is 0 if it issues them to others.
	Index int
	Hosts int
}

// NewChoice returns the choice of a host that knows no hosts yet.
func NewChoice(own ident.HostID) *Choice {
	return &Choice{
		own:              own,
		unavailableUntil: make(map[ident.HostID]time.Time),
	}
}

// SetHosts replaces the known hosts, sorted by name.
func (c *Choice) SetHosts(now time.Time, hosts []pacing.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.current(); current != nil && slices.Equal(current.hosts, hosts) {
		return
	}
	for len(c.lists) > 1 && now.Sub(c.lists[1].since) >= settleTime {
		c.lists = c.lists[1:]
	}
	c.lists = append(c.lists, &hostList{
		hosts:   hosts,
		since:   now,
		issuers: make(map[rankKey][]pacing.Host),
	})
	clear(c.unavailableUntil)
}

// Issuers returns the hosts to ask for a server's permits, in order of preference.
func (c *Choice) Issuers(now time.Time, server ident.ServerName, region ident.Region) []pacing.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current()
	if current == nil {
		return nil
	}
	key := rankKey{
		server: server,
		region: region,
	}
	var issuers []pacing.Host
	for _, host := range current.issuersOf(key) {
		if !now.Before(c.unavailableUntil[host.Name]) {
			issuers = append(issuers, host)
		}
	}
	return issuers
}

// OwnRank returns this host's rank among a server's issuers.
func (c *Choice) OwnRank(server ident.ServerName, region ident.Region) Rank {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current()
	if current == nil {
		return Rank{
			Position: -1,
		}
	}
	key := rankKey{
		server: server,
		region: region,
	}
	rank := Rank{
		Position: c.indexOfOwn(current.issuersOf(key)),
	}
	hadRank := true
	for _, list := range slices.Backward(c.lists) {
		position := c.indexOfOwn(list.issuersOf(key))
		if position < 0 {
			break
		}
		rank.IssuerSince = list.since
		hadRank = hadRank && position <= rank.Position
		if hadRank {
			rank.Since = list.since
		}
	}
	rank.Since = later(rank.Since, c.outOfTouchAt)
	return rank
}

// LoseTouch records that the list of hosts isn't recent: this host may have been replaced as the
// first in rank.
func (c *Choice) LoseTouch(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outOfTouchAt = now
}

// AloneRank returns the rank of this host while it issues permits to itself only; one among no hosts
// if it knows none yet.
func (c *Choice) AloneRank() Rank {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current()
	if current == nil {
		return Rank{}
	}
	return Rank{
		Index: max(c.indexOfOwn(current.hosts), 0),
		Hosts: len(current.hosts),
	}
}

// Fail records that a host did not answer.
func (c *Choice) Fail(now time.Time, host ident.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableUntil[host] = now.Add(issuerBackoff)
}

// current returns the current list of hosts, nil if none is known yet. The caller holds mu.
func (c *Choice) current() *hostList {
	if len(c.lists) == 0 {
		return nil
	}
	return c.lists[len(c.lists)-1]
}

func (c *Choice) indexOfOwn(hosts []pacing.Host) int {
	return slices.IndexFunc(hosts, func(h pacing.Host) bool { return h.Name == c.own })
}

// issuersOf returns the issuers of a server. The caller holds the Choice's mu.
func (l *hostList) issuersOf(key rankKey) []pacing.Host {
	issuers, known := l.issuers[key]
	if !known {
		candidates := pacing.InRegion(l.hosts, key.region)
		if len(candidates) == 0 {
			candidates = l.hosts
		}
		issuers = pacing.PickHosts(candidates, string(key.server), issuersPerServer)
		if len(l.issuers) >= maxRanked {
			clear(l.issuers)
		}
		l.issuers[key] = issuers
	}
	return issuers
}

// maxRanked bounds the servers whose issuers are kept.
const maxRanked = 4096
