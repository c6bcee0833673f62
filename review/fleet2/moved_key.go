package main

import (
	"time"
)

const (
	clientKey   = "k-7f3a91c2e5"
	firstTenant = "harbour"
	nextTenant  = "harbour-north"
	// spotNotice is how long a server that is taken away at short notice goes on, nextServer how long
	// after its end another one comes.
	spotNotice = 2 * time.Second
	nextServer = 4 * time.Second
	// applyBound is the bound config_apply_ms.
	applyBound = 4 * time.Second
	// waitingTimeout is the time-out of the route and of its clients.
	waitingTimeout = 15 * time.Second
)

// tenantConfiguration is that of a deployment whose tenant has a key.
func tenantConfiguration(version int, tenants map[string][]string) map[string]any {
	result := plainConfiguration(version)
	routes := result["routes"].([]map[string]any)
	routes[0]["timeout_ms"] = waitingTimeout.Milliseconds()
	var listed []map[string]any
	for _, name := range []string{firstTenant, nextTenant} {
		listed = append(listed, map[string]any{"name": name, "api_keys": tenants[name]})
	}
	result["tenants"] = listed
	return result
}

func init() {
	plays["moved-key"] = playMovedKey
}

// playMovedKey moves a client's key to another tenant while the client's request waits for a server.
func playMovedKey(folder string, log *record, hasTrouble bool) verdict {
	before := map[string][]string{
		firstTenant: {clientKey},
		nextTenant:  {"k-other"},
	}
	after := map[string][]string{
		firstTenant: {"k-another"},
		nextTenant:  {"k-other", clientKey},
	}
	f := newFleet(folder, log, tenantConfiguration(firstVersion, before), 2, 1, serverWork)
	defer f.close()
	if !f.start() {
		return notRun
	}
	time.Sleep(contactTime + time.Second)
	senders := &clients{
		record:   log,
		prefix:   "a",
		key:      clientKey,
		deadline: waitingTimeout,
	}
	if first := senders.send(f.hosts[0]); first.status != 200 {
		return notRun
	}
	taken := f.servers[0]
	taken.register("draining", map[string]any{"remaining_ms": spotNotice.Milliseconds()})
	takenAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	answers := make(chan answer, len(f.hosts))
	for _, h := range f.hosts {
		go func() { answers <- senders.send(h) }()
	}
	time.Sleep(300 * time.Millisecond)
	holder := firstTenant
	var movedAt time.Time
	if hasTrouble {
		f.store.put("op/config", tenantConfiguration(firstVersion+1, after))
		holder, movedAt = nextTenant, time.Now()
		log.printf("the key moves from tenant %s to tenant %s", firstTenant, nextTenant)
	}
	time.Sleep(time.Until(takenAt.Add(spotNotice)))
	f.store.remove("servers/" + taken.id)
	taken.stop()
	time.Sleep(time.Until(takenAt.Add(spotNotice + nextServer)))
	next := startServer(f.store, &f.runs, log, "desk", "desk-next", serverWork)
	f.servers = append(f.servers, next)
	next.register("ready", nil)
	served := 0
	for range f.hosts {
		if got := <-answers; got.status == 200 {
			served++
		}
	}
	wrong := 0
	for _, r := range f.runs.list() {
		if r.server == next.id && (r.tenant != holder || r.key != "") && r.at.Sub(movedAt) > applyBound {
			wrong++
		}
	}
	log.printf("%d requests were served by %s, %d of them ran for another tenant than the one that holds the key, later than %s after its configuration was acknowledged", served, next.id, wrong, applyBound)
	switch {
	case wrong > 0:
		return broken
	case served == 0:
		return notRun
	}
	return held
}
