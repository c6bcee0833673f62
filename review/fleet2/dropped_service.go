package main

import (
	"time"
)

const (
	// drainAfter is how long after the change of the configuration the engine reports that it leaves,
	// exitAfter how long after that report it exits.
	drainAfter = time.Second
	exitAfter  = 8 * time.Second
)

func init() {
	plays["dropped-service"] = playDroppedService
}

// playDroppedService moves a route to another service, drops the service that it led to and empties
// that one's engine, while requests wait for a slot there.
func playDroppedService(folder string, log *record, hasTrouble bool) verdict {
	oneModel := []string{modelName}
	f := newFleet(folder, log, modelConfiguration(firstVersion, "old-models", oneModel, "old-models", "new-models"), 1, 0, 0)
	defer f.close()
	old := f.startEngine("old-models", "old-0", newEngine(modelSizes, engineMemory, modelName))
	f.startEngine("new-models", "new-0", newEngine(modelSizes, engineMemory, modelName))
	if !f.start() {
		return notRun
	}
	time.Sleep(smallContactTime + time.Second)
	running := &clients{
		record:   log,
		prefix:   "a",
		model:    modelName,
		deadline: streamTimeout,
	}
	answers := make(chan answer, engineSlots+len(f.hosts))
	for n := range engineSlots {
		go func() { answers <- running.send(f.hosts[n%len(f.hosts)]) }()
	}
	time.Sleep(time.Second)
	waiting := &clients{
		record:   log,
		prefix:   "b",
		model:    modelName,
		deadline: streamTimeout,
	}
	for _, h := range f.hosts {
		go func() { answers <- waiting.send(h) }()
	}
	time.Sleep(time.Second)
	if hasTrouble {
		f.store.put("op/config", modelConfiguration(firstVersion+1, "new-models", oneModel, "new-models"))
		log.printf("the route moves to new-models, old-models is dropped")
	}
	time.Sleep(drainAfter)
	old.register("draining", nil)
	leavesAt := time.Now()
	time.Sleep(time.Until(leavesAt.Add(exitAfter)))
	f.store.remove("servers/" + old.id)
	old.stop()
	time.Sleep(time.Second)
	for range engineSlots + len(f.hosts) {
		<-answers
	}
	late := 0
	for _, r := range f.runs.list() {
		if r.server == old.id && r.at.Sub(leavesAt) > smallDrainBound {
			late++
		}
	}
	lost := 0
	for _, got := range waiting.list() {
		if got.err != nil {
			lost++
		}
	}
	log.printf("%d requests reached %s later than %s after it had reported that it leaves; the answers to %d were cut", late, old.id, smallDrainBound, lost)
	if late > 0 {
		return broken
	}
	return held
}
