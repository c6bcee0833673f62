package main

import (
	"strconv"
	"sync"
	"time"
)

const (
	// silentTime is how long the store answers nothing, removedBefore how long before that the entry of a
	// server is removed.
	silentTime    = 6 * time.Second
	removedBefore = 30 * time.Millisecond
	// beatInterval is between two writes of servers of their entries.
	beatInterval = 90 * time.Millisecond
	// watchTime is how long requests are sent after the store's return.
	watchTime = 7 * time.Second

	silentMachinesPerZone = 4
	silentServerCount     = 4
	silentSendInterval    = 60 * time.Millisecond
	silentWork            = 30 * time.Millisecond
)

func init() {
	plays["silent-store"] = playSilentStore
}

// playSilentStore removes the entry of a server just before the store falls silent, and watches for
// how long hosts send to that server after the store's return.
func playSilentStore(folder string, log *record, hasTrouble bool) verdict {
	f := newFleet(folder, log, plainConfiguration(firstVersion), silentMachinesPerZone, silentServerCount, silentWork)
	defer f.close()
	if !f.start() {
		return notRun
	}
	leaver := f.servers[0]
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Add(1)
	go func() {
		defer ended.Done()
		f.keepBeating(f.servers[1:], done)
	}()
	var all []*clients
	for n, h := range f.hosts {
		senders := &clients{
			record:   log,
			prefix:   "h" + strconv.Itoa(n),
			deadline: 2 * time.Second,
		}
		senders.keepSending(h, silentSendInterval, done, &ended)
		all = append(all, senders)
	}
	time.Sleep(settleTime)
	leaver.unregister()
	removedAt := time.Now()
	time.Sleep(removedBefore)
	f.store.setSilent(hasTrouble)
	log.printf("the store falls silent: %t", hasTrouble)
	time.Sleep(silentTime)
	f.store.setSilent(false)
	backAt := time.Now()
	log.printf("the store is back")
	time.Sleep(watchTime)
	close(done)
	ended.Wait()
	boundFrom := removedAt.Add(smallDrainBound)
	if inTouch := backAt.Add(smallContactTime); hasTrouble && inTouch.After(boundFrom) {
		boundFrom = inTouch
	}
	sentLate := make(map[string]bool)
	for _, senders := range all {
		for _, got := range senders.list() {
			sentLate[got.request] = got.sentAt.After(boundFrom)
		}
	}
	late := 0
	for _, r := range f.runs.list() {
		if r.server == leaver.id && sentLate[r.request] {
			late++
		}
	}
	log.printf("%d requests reached %s that clients sent later than %s after its entry was removed, and %s after the store's return", late, leaver.id, smallDrainBound, smallContactTime)
	if late > 0 {
		return broken
	}
	return held
}

// keepBeating writes the entries of servers in turn, as their heartbeats do, while the store answers.
func (f *fleet) keepBeating(servers []*server, done <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(beatInterval):
		}
		if isSilent, _ := f.store.silence(); !isSilent {
			servers[n%len(servers)].register("ready", map[string]any{"sequence": n})
		}
	}
}
