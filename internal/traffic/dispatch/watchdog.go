package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errStalled ends an attempt whose backend server has said nothing for too long.
var errStalled = errors.New("backend server stalled")

// Bounds of how long an attempt may stay silent, as multiples of the promise.
const (
	// A first token later than this many promised times is not coming: what
	// hangs is let go while the caller still waits, and another server tried.
	firstTokenPatience = 2
	betweenPatience    = 40
	leastStall         = 500 * time.Millisecond
)

// watchdog ends an attempt at a backend server that hangs: a frozen process or
// a cut network keeps the connection open without a word, and only its silence
// shows. An attempt that may not be repeated is left to its deadline, since
// nothing could be done with the time that ending it early would save.
type watchdog struct {
	watched context.Context
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

// watch starts a watchdog with the patience for the first word; zero is for
// attempts that only the deadline ends.
func (j *journey) watch(ctx context.Context, patience time.Duration) (context.Context, *watchdog) {
	watched, cancel := context.WithCancelCause(ctx)
	dog := &watchdog{
		watched: watched,
		cancel:  cancel,
	}
	if j.mayRepeat && patience > 0 {
		dog.timer = time.AfterFunc(patience, func() { cancel(errStalled) })
	}
	return watched, dog
}

// firstWord gives how long a backend server may take for its first word.
func (j *journey) firstWord() time.Duration {
	return max(firstTokenPatience*j.target.Promise.FirstToken, leastStall)
}

// firstWord gives how long an engine may take for its first word. An answer in
// one piece comes with its last token: nothing tells a long one from a hang
// where its length has no bound, and only the deadline ends it.
func (c *conversation) firstWord() time.Duration {
	switch {
	case c.chat.Stream:
		return c.journey.firstWord()
	case c.chat.MaxTokens == 0:
		return 0
	default:
		return c.journey.firstWord() + firstTokenPatience*c.target.Promise.Between(c.chat.MaxTokens)
	}
}

// stall gives how long a stream may pause.
func (j *journey) stall() time.Duration {
	return max(betweenPatience*j.target.Promise.BetweenTokens, leastStall)
}

// pause stops the watch while the caller is written to: one that reads slowly
// holds the answer up, and its engine must not be taken for hanging by that.
func (w *watchdog) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// alive grants the attempt another while.
func (w *watchdog) alive(patience time.Duration) {
	if w.timer != nil {
		w.timer.Reset(patience)
	}
}

// stalled tells whether it was the watchdog that ended the attempt.
func (w *watchdog) stalled() bool {
	return errors.Is(context.Cause(w.watched), errStalled)
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
