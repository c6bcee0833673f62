package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/wire/engineapi"
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
	// unboundedTokens is the length that an answer in one piece may have where
	// its request gives no bound.
	unboundedTokens = 4096
)

// firstSign is how long the first token may take.
func (j *journey) firstSign() time.Duration {
	return max(firstTokenPatience*j.target.Promise.FirstToken, leastStall)
}

// firstSign is how long a chat's first sign of life may take. An answer in one
// piece gives none before its last token: given up after the time of a first
// token, every long one would fail at one engine after the other.
func (c *conversation) firstSign() time.Duration {
	patience := c.journey.firstSign()
	if c.chat.Stream {
		return patience
	}
	tokens := unboundedTokens
	if parsed, err := engineapi.ParseChat(c.chat.Body); err == nil && parsed.MaxTokens > 0 {
		tokens = min(parsed.MaxTokens, unboundedTokens)
	}
	return patience + firstTokenPatience*time.Duration(tokens)*c.target.Promise.BetweenTokens
}

// watchdog ends an attempt at a backend server that hangs: a frozen process or
// a cut network keeps the connection open without a word, and only its silence
// shows. An attempt that may not be repeated is left to its deadline, since
// nothing could be done with the time that ending it early would save.
type watchdog struct {
	watched context.Context
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

func (j *journey) watch(ctx context.Context, patience time.Duration) (context.Context, *watchdog) {
	watched, cancel := context.WithCancelCause(ctx)
	dog := &watchdog{
		watched: watched,
		cancel:  cancel,
	}
	if j.mayRepeat {
		dog.timer = time.AfterFunc(patience, func() { cancel(errStalled) })
	}
	return watched, dog
}

// stall gives how long a stream may pause.
func (j *journey) stall() time.Duration {
	return max(betweenPatience*j.target.Promise.BetweenTokens, leastStall)
}

// alive grants the attempt another while.
// pause stops the watch while the caller is written to: one that reads slowly
// holds the answer up, and its engine must not be taken for hanging by that.
func (w *watchdog) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

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
