package main

import (
	"time"
)

const (
	// runningStreams are in progress while the configuration changes.
	runningStreams = 4
	// orderTime is how long the case waits for the orders that follow.
	orderTime = 8 * time.Second
)

func init() {
	plays["dropped-model"] = playDroppedModel
}

// playDroppedModel replaces a model by another one in the configuration, while its engine still has
// the first.
func playDroppedModel(folder string, log *record, hasTrouble bool) verdict {
	const service = "brief-models"
	before, after := []string{modelName, retiredModel}, []string{modelName, newModel}
	f := newFleet(folder, log, modelConfiguration(firstVersion, service, before, service), 1, 0, 0)
	defer f.close()
	engine := f.startEngine(service, "brief-0", newEngine(modelSizes, engineMemory, before...))
	if !f.start() {
		return notRun
	}
	time.Sleep(smallContactTime + time.Second)
	senders := &clients{
		record:   log,
		prefix:   "a",
		model:    modelName,
		deadline: streamTimeout,
	}
	answers := make(chan answer, runningStreams)
	for n := range runningStreams {
		go func() { answers <- senders.send(f.hosts[n%len(f.hosts)]) }()
	}
	time.Sleep(time.Second)
	if hasTrouble {
		f.store.put("op/config", modelConfiguration(firstVersion+1, service, after, service))
		log.printf("model %s is replaced by %s", retiredModel, newModel)
	}
	time.Sleep(orderTime)
	cut := 0
	for range runningStreams {
		if got := <-answers; got.err != nil {
			cut++
		}
	}
	if engine.engine.isOvercommitted() {
		log.printf("ordered to load more than the engine holds: %s MB; the answers to %d requests were cut", engine.engine.overcommitted, cut)
		return broken
	}
	log.printf("no order asked for more than the engine holds; the answers to %d requests were cut", cut)
	return held
}
