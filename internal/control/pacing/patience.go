package pacing

import "time"

const (
	// leastPatience is how long a prompt waits for an engine at least, lessByPriority by
	// how much less for each step that its kind is less urgent, down to leastUrgent.
	leastPatience  = 1500 * time.Millisecond
	lessByPriority = 200 * time.Millisecond
	leastUrgent    = 4
	// objectives is for how many times its objective a prompt waits: callers stay for
	// longer, and need what is left for the answer to begin.
	objectives = 2.5
)

// Patience is how long a prompt with an objective waits in the queue before it is refused.
// Its caller leaves when nothing has come for some seconds, and what it waited for is
// lost; but who is refused comes back once at most, often into the same crowd. In a crowd
// that lasts for seconds, as after a loss of engines, waiting costs the engines nothing:
// who is late stands behind all who can still be in time, and is served when these are.
func Patience(objective time.Duration, priority int) time.Duration {
	least := leastPatience - time.Duration(min(priority, leastUrgent))*lessByPriority
	return max(least, time.Duration(objectives*float64(objective)))
}
