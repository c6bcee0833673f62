package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errStalled is the cancellation cause of an attempt whose backend server has
// sent nothing for too long.
var errStalled = errors.New("backend server stalled")

// Limits on how long an attempt may send nothing, as multiples of the promised
// times, and the minimum of these limits.
const (
	// A first token later than this many promised times is not expected any
	// more: the attempt is ended while the caller still waits, so that another
	// server is tried.
	firstTokenTimeoutFactor    = 2
	betweenTokensTimeoutFactor = 40
	minStallTimeout            = 500 * time.Millisecond
)

// watchdog ends an attempt whose backend server hangs. A frozen process or a
// broken network keeps the connection open, so a missing answer is the only
// sign. An attempt that may not be repeated runs until its deadline, since
// nothing could be done with the time that ending it early would save.
type watchdog struct {
	ctx    context.Context
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// startWatchdog starts a watchdog with the timeout for the first response; with
// zero, only the deadline ends the attempt.
func (h *requestHandler) startWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	watchedCtx, cancel := context.WithCancelCause(ctx)
	dog := &watchdog{
		ctx:    watchedCtx,
		cancel: cancel,
	}
	if h.mayRepeat && timeout > 0 {
		dog.timer = time.AfterFunc(timeout, func() { cancel(errStalled) })
	}
	return watchedCtx, dog
}

// firstResponseTimeout returns how long a backend server may take to send
// anything.
func (h *requestHandler) firstResponseTimeout() time.Duration {
	return max(firstTokenTimeoutFactor*h.target.Promise.FirstToken, minStallTimeout)
}

// firstResponseTimeout returns how long an engine may take to send anything. An
// answer that is not streamed arrives with its last token. If its length has no
// limit, a long answer looks the same as a hanging server, so only the deadline
// ends it.
func (h *chatHandler) firstResponseTimeout() time.Duration {
	switch {
	case h.chat.Stream:
		return h.requestHandler.firstResponseTimeout()
	case h.chat.MaxTokens == 0:
		return 0
	default:
		return h.requestHandler.firstResponseTimeout() + firstTokenTimeoutFactor*h.target.Promise.GenerationTime(h.chat.MaxTokens)
	}
}

// streamStallTimeout returns how long a stream may send nothing.
func (h *requestHandler) streamStallTimeout() time.Duration {
	return max(betweenTokensTimeoutFactor*h.target.Promise.BetweenTokens, minStallTimeout)
}

// pause stops the timer while an event is written to the caller. A caller that
// reads slowly delays the answer, and its engine must not be taken as hanging.
func (w *watchdog) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reset restarts the timer.
func (w *watchdog) reset(timeout time.Duration) {
	if w.timer != nil {
		w.timer.Reset(timeout)
	}
}

// hasStalled reports whether the watchdog ended the attempt.
func (w *watchdog) hasStalled() bool {
	return errors.Is(context.Cause(w.ctx), errStalled)
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
