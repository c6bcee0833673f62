package engine

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

// foreignAttempt and foreignMessage belong to the request whose answer the
// ForeignAnswers fault returns.
const foreignAttempt = "att-neighbour"

var foreignMessage = engineapi.Message{
	Role: "user",
	Text: "a neighbour",
}

// call is a chat request, decoded from its headers and body.
type call struct {
	request  ident.RequestID
	attempt  ident.AttemptID
	priority int
	deadline time.Time
	resumeAt int
	chat     engineapi.Chat
	body     []byte
}

func readCall(r *http.Request, body []byte) (*call, error) {
	priority, err := engineapi.ParseCount(r.Header.Get(engineapi.HeaderPriority))
	if err != nil {
		return nil, errors.Wrap(err, engineapi.HeaderPriority)
	}
	deadline, err := engineapi.ParseDeadline(r.Header.Get(engineapi.HeaderDeadline))
	if err != nil {
		return nil, errors.Wrap(err, engineapi.HeaderDeadline)
	}
	resumeAt, err := engineapi.ParseCount(r.Header.Get(engineapi.HeaderResumeAt))
	if err != nil {
		return nil, errors.Wrap(err, engineapi.HeaderResumeAt)
	}
	chat, err := engineapi.ParseChat(body)
	if err != nil {
		return nil, err
	}
	return &call{
		request:  ident.RequestID(r.Header.Get(engineapi.HeaderRequest)),
		attempt:  ident.AttemptID(r.Header.Get(engineapi.HeaderAttempt)),
		priority: priority,
		deadline: deadline,
		resumeAt: resumeAt,
		chat:     chat,
		body:     body,
	}, nil
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	current := e.current()
	w.Header().Set(engineapi.HeaderIncarnation, string(current.id))
	w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
	if limit := e.Faults.Get().RequestLimit; limit != "" {
		w.Header().Set(engineapi.HeaderRequestLimit, limit)
	}
	if e.Faults.Get().SayLeaving {
		w.Header().Set(engineapi.HeaderLeaving, "1")
	}
	body, ok := server.ReadBody(w, r)
	if !ok {
		return
	}
	call, err := readCall(r, body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if e.Faults.TakeOne(func(f *Faults) *int { return &f.ForeignAnswers }) {
		w.Header().Set(engineapi.HeaderAttempt, foreignAttempt)
		call.chat.Messages = []engineapi.Message{foreignMessage}
	}
	if e.isLeaving() {
		e.counters.countRefusedLeaving()
		refuseNotRun(w, http.StatusServiceUnavailable, "engine is leaving")
		return
	}
	if rest := e.Faults.Get().RestFor; rest != "" {
		w.Header().Set("Retry-After", rest)
		refuseNotRun(w, http.StatusServiceUnavailable, "engine rests")
		return
	}
	ctx, unregister := current.registerAttempt(r.Context(), call.attempt)
	defer unregister()
	current.serve(ctx, w, call)
}

// serve queues a call, runs it and counts its outcome.
func (inc *incarnation) serve(ctx context.Context, w http.ResponseWriter, call *call) {
	if !inc.isReady(call.chat.Model) {
		refuseNotRun(w, http.StatusNotFound, "model is not ready here")
		return
	}
	if err := inc.acquire(ctx, call.priority, call.deadline); err != nil {
		inc.refuseWithoutSlot(w, err)
		return
	}
	defer inc.release()
	used, isReady := inc.acquireWeights(call.chat.Model)
	if !isReady { // unloaded while the call waited
		refuseNotRun(w, http.StatusNotFound, "model is no longer ready here")
		return
	}
	defer inc.releaseWeights(used)
	inc.engine.counters.countRun(call.request)
	run := &run{
		incarnation: inc,
		ctx:         ctx,
		w:           w,
		call:        call,
		version:     used.version,
	}
	result := run.serve()
	inc.engine.counters.countOutcome(result)
	if result != completed && result != endedEarly {
		server.CutConnection()
	}
}

func (inc *incarnation) refuseWithoutSlot(w http.ResponseWriter, err error) {
	if errors.Is(err, errQueueFull) {
		seconds := math.Ceil(inc.estimateQueueTime().Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		refuseNotRun(w, http.StatusTooManyRequests, err.Error())
		return
	}
	refuseNotRun(w, http.StatusServiceUnavailable, err.Error())
}

func (e *Engine) serveCancel(w http.ResponseWriter, r bunrouter.Request) error {
	if !e.current().cancelAttempt(ident.AttemptID(server.PathParam(r, "attempt"))) {
		w.WriteHeader(http.StatusNotFound)
	}
	return nil
}

// refuseNotRun refuses a request, with the header that proves that it was not run.
func refuseNotRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set(engineapi.HeaderNotRun, engineapi.NotRunProof)
	refuse(w, status, message)
}

func refuse(w http.ResponseWriter, status int, message string) {
	body, err := engineapi.EncodeError(http.StatusText(status), message)
	server.WriteJSON(w, status, body, err)
}

// hasMarker reports whether a crash marker is set and the body contains it.
func (c *call) hasMarker(marker string) bool {
	return marker != "" && bytes.Contains(c.body, []byte(marker))
}
