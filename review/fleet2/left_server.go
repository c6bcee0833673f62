package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// machinesPerZone and serverCount are those of the fleet; serverWork is how long a request takes.
	machinesPerZone = 10
	serverCount     = 3
	serverWork      = 60 * time.Millisecond
	// settleTime is how long the hosts run before anything happens: those that follow the store for
	// others write that down with the renewal of their entry.
	settleTime = 9 * time.Second
	// freezeTime is how long the two machines stand still.
	freezeTime = 2250 * time.Millisecond
	// addedAfter and removedAfter are when, after the start of the freeze, a machine is added and the
	// entry of a server is removed.
	addedAfter   = 50 * time.Millisecond
	removedAfter = 900 * time.Millisecond
	// lingerTime is how long the server goes on after its entry was removed.
	lingerTime = 14 * time.Second
	// changedBefore is how long before the freeze the configuration changes.
	changedBefore = 2230 * time.Millisecond
	// sendInterval is between two requests to a host.
	sendInterval = 40 * time.Millisecond
)

func init() {
	plays["left-server"] = playLeftServer
}

// playLeftServer adds a machine to a zone while the two of its machines that follow the store for
// the others stand still, and removes the entry of a server meanwhile.
func playLeftServer(folder string, log *record, hasTrouble bool) verdict {
	f := newFleet(folder, log, plainConfiguration(firstVersion), machinesPerZone, serverCount, serverWork)
	defer f.close()
	if !f.start() {
		return notRun
	}
	time.Sleep(settleTime)
	followers := f.followersIn(zones[0])
	if len(followers) != strongMachines {
		return notRun
	}
	leaver := f.servers[0]
	f.store.put("op/config", plainConfiguration(firstVersion+1))
	log.printf("the configuration changes")
	frozenAt := time.Now().Add(changedBefore)
	time.Sleep(time.Until(frozenAt.Add(-100 * time.Millisecond)))
	f.servers[1].register("ready", nil)
	time.Sleep(time.Until(frozenAt))
	if hasTrouble {
		signalAll(followers, syscall.SIGSTOP)
	}
	time.Sleep(addedAfter)
	added := f.add(zones[0])
	time.Sleep(time.Until(frozenAt.Add(removedAfter)))
	leaver.unregister()
	removedAt := time.Now()
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if hasTrouble {
		signalAll(followers, syscall.SIGCONT)
	}
	if !added.awaitReady(readyTimeout) {
		return notRun
	}
	return f.judgeLeftServer(added, leaver, removedAt)
}

// followersIn returns the hosts of a zone that follow the servers' entries in the store.
func (f *fleet) followersIn(zone string) []*host {
	var followers []*host
	for _, name := range f.store.followersSince(time.Now().Add(-contactTime)) {
		if h := f.named(name); h.zone == zone {
			followers = append(followers, h)
		}
	}
	return followers
}

func signalAll(hosts []*host, signal syscall.Signal) {
	for _, h := range hosts {
		h.signal(signal)
	}
}

// judgeLeftServer sends requests to the added host until the server whose entry was removed has exited,
// and counts those that reached it too late.
func (f *fleet) judgeLeftServer(added *host, leaver *server, removedAt time.Time) verdict {
	senders := &clients{
		record:   f.record,
		prefix:   "a",
		deadline: 2 * time.Second,
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	senders.keepSending(added, sendInterval, done, &ended)
	time.Sleep(time.Until(removedAt.Add(lingerTime)))
	leaver.stop()
	time.Sleep(2 * time.Second)
	close(done)
	ended.Wait()
	boundFrom := removedAt.Add(drainBound)
	if inTouch := added.startedAt.Add(contactTime); inTouch.After(boundFrom) {
		boundFrom = inTouch
	}
	late := 0
	for _, r := range f.runs.list() {
		if r.server == leaver.id && r.at.After(boundFrom) {
			late++
		}
	}
	lost := 0
	for _, got := range senders.list() {
		if got.err != nil || got.status == http.StatusBadGateway {
			lost++
		}
	}
	f.record.printf("%d requests reached %s later than %s after its entry was removed, sent by %s in touch; %d were lost when it exited", late, leaver.id, drainBound, added.name, lost)
	if late > 0 {
		return broken
	}
	return held
}
