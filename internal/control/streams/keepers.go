package streams

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

const (
	// keepersPerStream is how many hosts keep the origin of a stream.
	keepersPerStream = 3
	// partitions is into how many parts the streams are divided, each with its own keepers. It
	// bounds the hosts to which one host sends origins.
	partitions = 64
)

// Host is an entry host that may keep origins.
type Host struct {
	Name       ident.HostID
	Address    string
	DataCentre ident.DataCentre
	// StartedAt is when its process started: an earlier process's origins are lost.
	StartedAt time.Time
}

// keeperKey names one run of a keeper's process.
type keeperKey struct {
	name    ident.HostID
	started int64 // Unix nanoseconds
}

func (h *Host) key() keeperKey {
	return keeperKey{
		name:    h.Name,
		started: h.StartedAt.UnixNano(),
	}
}

// keeperChoice chooses the keepers of each partition by rendezvous hashing: hosts that know the
// same hosts agree without a message.
type keeperChoice struct {
	hosts []Host
	own   ident.HostID
	// hashes are those of the hosts' names.
	hashes []uint64
	// chosen caches the keepers of partitions, without this host.
	chosen map[uint64][]Host
}

// set replaces the known hosts, and reports whether that changes anything. own is no keeper.
func (c *keeperChoice) set(hosts []Host, own ident.HostID) bool {
	if slices.EqualFunc(c.hosts, hosts, func(a, b Host) bool { return a.key() == b.key() && a.Address == b.Address }) {
		return false
	}
	c.hosts = hosts
	c.own = own
	c.hashes = make([]uint64, 0, len(hosts))
	for i := range hosts {
		c.hashes = append(c.hashes, xxhash.Sum64String(string(hosts[i].Name)))
	}
	c.chosen = make(map[uint64][]Host)
	return true
}

// of returns the keepers of a stream, without this host.
func (c *keeperChoice) of(id ID) []Host {
	partition := uint64(id) % partitions
	chosen, known := c.chosen[partition]
	if !known && len(c.hosts) > 0 {
		chosen = slices.DeleteFunc(c.choose(partition), func(h Host) bool { return h.Name == c.own })
		c.chosen[partition] = chosen
	}
	return chosen
}

// choose returns the first host in rank, then those of other data centres and, if there are too
// few of these, those of any.
func (c *keeperChoice) choose(partition uint64) []Host {
	var chosen []Host
	for len(chosen) < min(keepersPerStream, len(c.hosts)) {
		next, found := c.first(partition, func(h *Host) bool { return !isNear(chosen, h) })
		if !found {
			next, _ = c.first(partition, func(h *Host) bool { return !slices.Contains(chosen, *h) })
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// isNear reports whether a host is in the data centre of one of some others.
func isNear(others []Host, host *Host) bool {
	return slices.ContainsFunc(others, func(other Host) bool { return other.DataCentre == host.DataCentre })
}

// first returns the first host in a partition's rank that may be chosen.
func (c *keeperChoice) first(partition uint64, mayChoose func(*Host) bool) (Host, bool) {
	best := -1
	var highest uint64
	for i := range c.hosts {
		weight := splitmix.Mix(c.hashes[i] ^ splitmix.Mix(partition))
		if (best < 0 || weight > highest) && mayChoose(&c.hosts[i]) {
			best, highest = i, weight
		}
	}
	if best < 0 {
		return Host{}, false
	}
	return c.hosts[best], true
}
