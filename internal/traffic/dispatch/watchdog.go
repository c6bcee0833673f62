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

func (j *journey) watch(ctx context.Context) (context.Context, *watchdog) {
	watched, cancel := context.WithCancelCause(ctx)
	dog := &watchdog{
		watched: watched,
		cancel:  cancel,
	}
	if j.mayRepeat {
		patience := max(firstTokenPatience*j.target.Promise.FirstToken, leastStall)
		dog.timer = time.AfterFunc(patience, func() { cancel(errStalled) })
	}
	return watched, dog
}

// stall gives how long a stream may pause.
func (j *journey) stall() time.Duration {
	return max(betweenPatience*j.target.Promise.BetweenTokens, leastStall)
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
