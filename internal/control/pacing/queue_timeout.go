package pacing

import "time"

const (
	// minQueueTimeout is the least time that a prompt of priority 0 may wait for an engine.
	// Each step of a less urgent priority shortens it by timeoutCutPerPriority, up to
	// maxPriorityCuts times.
	minQueueTimeout       = 1500 * time.Millisecond
	timeoutCutPerPriority = 200 * time.Millisecond
	maxPriorityCuts       = 4
	// objectivesPerTimeout is the queue timeout as a multiple of the objective. Callers wait
	// for longer than that, and the rest of their time is needed for the answer to begin.
	objectivesPerTimeout = 2.5
)

// QueueTimeout returns how long a prompt may wait in the queue before it is refused. A caller
// leaves when no event has come for some seconds, and its waiting was for nothing; but a
// refused caller retries once at most, often during the same overload. In an overload of some
// seconds, as after a loss of engines, waiting costs the engines nothing: late prompts stay
// behind all that can still be in time, and are served once those are.
func QueueTimeout(objective time.Duration, priority int) time.Duration {
	shortest := minQueueTimeout - time.Duration(min(priority, maxPriorityCuts))*timeoutCutPerPriority
	return max(shortest, time.Duration(objectivesPerTimeout*float64(objective)))
}
