// Package paths decides how a host connects to backend servers: directly, or through a peer,
// another entry host, while its own connections fail.
//
// A host may be cut off from some or all backend servers while clients, the key-value
// service and other hosts still reach it. A Table records which servers this host fails to
// connect to. Such a server has a detour: connections to it are opened through a peer, until
// a probe shows that the direct path works again. Once several servers fail in a row, a proof
// is due: the host tries a server of each service, and if none accepts a connection it takes
// itself for cut off from all, so that it need not find out for each server. A service that
// goes down as a whole does not look like that.
//
// A server that has failed looks the same as one that this host is cut off from, until a
// peer fails to connect to it too: its detour ends then.
//
// A Table decides and does nothing itself: it opens no connections, starts no goroutines and
// reads no clock. It is safe for use by many goroutines.
//
// # Usage
//
//	choice := table.Choose(now, server)
//	if choice.Probe {
//		// open a connection to the server, report it by RecordDirect, and close it
//	}
//	if !choice.Detour {
//		conn, err := dial(address)
//		table.RecordDirect(server, err == nil)
//		return conn, err
//	}
//	for _, peer := range table.Peers(now, own, hosts, rand.Uint64()) {
//		// open a connection through the peer; RecordUnable if the peer can't
//	}
package paths

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

const (
	// failuresForProof is the number of servers that fail in a row before the host finds out
	// whether it is cut off from all.
	failuresForProof = 3
	// probeInterval is the least time between two probes of this host.
	probeInterval = 250 * time.Millisecond
	// unableDuration is how long a peer that could not help is not asked.
	unableDuration = 2 * time.Second
	// peersInUse is the number of peers that a host uses at a time, and so of the connections
	// that it keeps open for that. maxTries is how many of them one connection may try.
	peersInUse = 4
	maxTries   = 3
	// maxDetours bounds the memory of servers that are never used again.
	maxDetours = 4096
)

// Server names one incarnation of a backend server.
type Server struct {
	Name        ident.ServerName
	Incarnation ident.Incarnation
}

// Table holds the paths of one host. The zero value has no detours.
type Table struct {
	mu      sync.Mutex
	detours map[Server]struct{}
	// failing are the servers that have failed since a direct connection last opened.
	failing     map[Server]struct{}
	isCutOff    bool
	nextProbeAt time.Time
	unableUntil map[ident.HostID]time.Time
}

// Choice is how to connect to a server.
type Choice struct {
	// Detour is whether to connect through a peer.
	Detour bool
	// Probe is whether to find out if the direct path works again.
	Probe bool
}

// Choose returns how to connect to a server.
func (t *Table) Choose(now time.Time, server Server) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	choice := Choice{
		Detour: t.needsDetour(server),
	}
	if choice.Detour && !now.Before(t.nextProbeAt) {
		t.nextProbeAt = now.Add(probeInterval)
		choice.Probe = true
	}
	return choice
}

func (t *Table) needsDetour(server Server) bool {
	_, hasDetour := t.detours[server]
	return hasDetour || t.isCutOff
}

// Change is what an event has changed.
type Change struct {
	// DetourBegins is whether the server has got a detour.
	DetourBegins bool
	// NeedsProof is whether to find out if the host is cut off, and to report it by RecordProof.
	NeedsProof bool
	// IsCutOff is whether the host takes itself for cut off, Changed whether that is new.
	IsCutOff bool
	Changed  bool
}

// RecordDirect records whether a direct connection to a server has opened.
func (t *Table) RecordDirect(server Server, opened bool) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := Change{
		DetourBegins: !opened && !t.needsDetour(server),
	}
	if opened {
		delete(t.detours, server)
		change.Changed = t.setCutOff(false)
	} else {
		t.addFailure(server)
		change.NeedsProof = len(t.failing) >= failuresForProof && !t.isCutOff
	}
	change.IsCutOff = t.isCutOff
	return change
}

func (t *Table) addFailure(server Server) {
	if t.detours == nil {
		t.detours = make(map[Server]struct{})
		t.failing = make(map[Server]struct{})
	}
	if len(t.detours) >= maxDetours {
		clear(t.detours)
	}
	t.detours[server] = struct{}{}
	t.failing[server] = struct{}{}
}

// setCutOff reports whether that is new. Either way the row of failures begins anew.
func (t *Table) setCutOff(isCutOff bool) bool {
	clear(t.failing)
	changed := t.isCutOff != isCutOff
	t.isCutOff = isCutOff
	return changed
}

// RecordProof records whether a server of any service has accepted a direct connection.
func (t *Table) RecordProof(accepted bool) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Change{
		Changed:  t.setCutOff(!accepted),
		IsCutOff: !accepted,
	}
}

// RecordUnreachable records that a peer that reaches other servers failed to connect to this
// one too.
func (t *Table) RecordUnreachable(server Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.detours, server)
	delete(t.failing, server)
}

// RecordUnable records that a peer did not answer, is cut off itself or has no room.
func (t *Table) RecordUnable(now time.Time, peer ident.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unableUntil == nil {
		t.unableUntil = make(map[ident.HostID]time.Time)
	}
	for name, until := range t.unableUntil {
		if !now.Before(until) {
			delete(t.unableUntil, name)
		}
	}
	t.unableUntil[peer] = now.Add(unableDuration)
}

// Reaches reports whether this host connects to a server directly, and so may do it for peers.
func (t *Table) Reaches(server Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.needsDetour(server)
}

// IsCutOff reports whether this host takes itself for cut off from all servers.
func (t *Table) IsCutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCutOff
}

// Location is where a host is.
type Location struct {
	Host   ident.HostID
	Region ident.Region
}

// Peers returns the peers through which to connect, in the order in which to try them. Those of
// the own region come first. Each host ranks the others by a hash of both names, so that many
// hosts that are cut off together spread over all peers, and each keeps few connections.
func (t *Table) Peers(now time.Time, own Location, hosts []pacing.Host, random uint64) []pacing.Host {
	able := t.bestAble(now, own, hosts)
	for i := len(able) - 1; i > 0; i-- {
		random = splitmix.Mix(random)
		j := int(random % uint64(i+1))
		able[i], able[j] = able[j], able[i]
	}
	slices.SortStableFunc(able, func(a, b rankedPeer) int { return cmp.Compare(a.distance, b.distance) })
	peers := make([]pacing.Host, 0, maxTries)
	for i := range able[:min(len(able), maxTries)] {
		peers = append(peers, *able[i].host)
	}
	return peers
}

// rankedPeer is a peer with its rank: its distance, and then its hash.
type rankedPeer struct {
	host     *pacing.Host
	distance int
	hash     uint64
}

func comparePeers(a, b rankedPeer) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash))
}

// bestAble returns the first peersInUse of the peers that may be able to help.
func (t *Table) bestAble(now time.Time, own Location, hosts []pacing.Host) []rankedPeer {
	t.mu.Lock()
	defer t.mu.Unlock()
	ownHash := xxhash.Sum64String(string(own.Host))
	best := make([]rankedPeer, 0, peersInUse+1)
	for i := range hosts {
		host := &hosts[i]
		if host.Name == own.Host || now.Before(t.unableUntil[host.Name]) {
			continue
		}
		peer := rankedPeer{
			host: host,
			hash: splitmix.Mix(ownHash ^ xxhash.Sum64String(string(host.Name))),
		}
		if host.Region != own.Region {
			peer.distance = 1
		}
		at, _ := slices.BinarySearchFunc(best, peer, comparePeers)
		if at < peersInUse {
			best = slices.Insert(best, at, peer)
			best = best[:min(len(best), peersInUse)]
		}
	}
	return best
}
