package main

import (
	"strconv"
	"time"
)

// The bounds of the larger sites.
const (
	drainBound  = 4 * time.Second // drain_ms
	contactTime = 5 * time.Second // contact_ms
)

// The bounds of the small sites.
const (
	smallDrainBound  = 3 * time.Second // drain_ms
	smallContactTime = 4 * time.Second // contact_ms
)

// readyTimeout is how long hosts may take to become ready.
const readyTimeout = 20 * time.Second

// Machines of a zone, as on the site's sheet: two strong ones and weaker ones.
const (
	strongMachines = 2
	strongCores    = 0.8
	weakCores      = 0.192
)

// firstVersion is that of the first configuration.
const firstVersion = 7

// plainConfiguration is that of a deployment with one service without models.
func plainConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-boat", "host": routeHost, "prefix": unsafeRoute, "route_kind": "unsafe", "timeout_ms": 1000 + 10*version, "target_latency_ms": 200,
			"priority": 2, "service": "desk", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// fleet is a small deployment.
type fleet struct {
	folder  string
	record  *record
	store   *store
	runs    runs
	servers []*server
	hosts   []*host

	staleSeed string
}

func newFleet(folder string, log *record, configuration map[string]any, hostsPerZone, servers int, work time.Duration) *fleet {
	f := &fleet{
		folder: folder,
		record: log,
		store:  startStore(),
	}
	f.store.put("op/config", configuration)
	for n := range servers {
		s := startServer(f.store, &f.runs, log, "desk", "desk-"+strconv.Itoa(n), work)
		s.register("ready", nil)
		f.servers = append(f.servers, s)
	}
	for _, zone := range zones {
		for n := range hostsPerZone {
			cores := weakCores
			if n < strongMachines {
				cores = strongCores
			}
			f.hosts = append(f.hosts, newHost(folder, log, "front-"+zone+"-"+strconv.Itoa(n+1), zone, cores))
		}
	}
	for _, h := range f.hosts {
		h.writeSettings(f.store.door(h.name), f.seeds(), true)
	}
	return f
}

// seeds returns the addresses that a host's settings name: those of the strong machines of the first
// zone, and one that is stale.
func (f *fleet) seeds() []string {
	if f.staleSeed == "" {
		f.staleSeed = freeAddress()
	}
	seeds := []string{f.staleSeed}
	for _, h := range f.hosts[:strongMachines] {
		seeds = append(seeds, h.peers)
	}
	return seeds
}

// start starts all hosts, and reports whether they are ready in time.
func (f *fleet) start() bool {
	for _, h := range f.hosts {
		h.start()
	}
	for _, h := range f.hosts {
		if !h.awaitReady(readyTimeout) {
			return false
		}
	}
	return true
}

// add starts a machine that is added to the running system.
func (f *fleet) add(zone string) *host {
	added := newHost(f.folder, f.record, "front-"+zone+"-added", zone, weakCores)
	added.writeSettings(f.store.door(added.name), f.seeds(), false)
	f.hosts = append(f.hosts, added)
	added.start()
	return added
}

// named returns a host by its name.
func (f *fleet) named(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.end()
	}
	for _, s := range f.servers {
		_ = s.http.Close()
	}
	f.store.close()
}
