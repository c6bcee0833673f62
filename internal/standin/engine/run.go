package engine

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

// brokenChunk is the malformed chunk that BreakStreamAfter sends.
const brokenChunk = `{"id":"broken","object":`

// outcome is how a run ended.
type outcome int

const (
	completed outcome = iota
	cancelled
	// connectionCut and endedEarly are caused by faults: the connection is closed,
	// or the HTTP answer ends in order before the text is complete.
	connectionCut
	endedEarly
)

// run is a call that has a slot.
type run struct {
	incarnation *incarnation
	ctx         context.Context
	w           http.ResponseWriter
	call        *call
	version     ident.Version
	answer      engineapi.Answer
	text        strings.Builder
}

// serve waits for the first token's time and generates the answer.
func (r *run) serve() outcome {
	r.answer = engineapi.Answer{
		ID:      "chatcmpl-" + string(r.call.attempt),
		Created: time.Now(),
		Model:   r.call.chat.Model,
	}
	cached := r.incarnation.lookUpPrefixes(&r.call.chat)
	if !server.Pause(r.ctx, r.incarnation.firstTokenTime(cached)) {
		return cancelled
	}
	if r.call.hasMarker(r.incarnation.engine.Faults.Get().CrashOnMarker) {
		r.incarnation.engine.Crash()
		return connectionCut
	}
	if r.call.chat.Stream {
		r.w.Header().Set("Content-Type", engineapi.ContentTypeStream)
		r.w.Header().Set("Cache-Control", "no-cache")
	}
	return r.generate()
}

func (r *run) generate() outcome {
	script := newScript(&r.call.chat, r.version)
	requestFaults := r.incarnation.engine.requestFaults()
	for index := r.call.resumeAt; index < script.length; index++ {
		if index > r.call.resumeAt && !server.Pause(r.ctx, r.incarnation.tokenTime()) {
			return cancelled
		}
		if !r.incarnation.engine.server.WaitWhileFrozen(r.ctx, requestFaults) {
			return cancelled
		}
		if isOver, result := r.applyStreamFaults(index - r.call.resumeAt); isOver {
			return result
		}
		if !r.emitToken(script.token(index), index == 0) {
			return cancelled
		}
	}
	return r.finishAnswer(script.length)
}

// applyStreamFaults applies the stream faults after the given number of sent
// tokens. It returns true, with the outcome, if the answer is over.
func (r *run) applyStreamFaults(sent int) (bool, outcome) {
	faults := r.incarnation.engine.Faults.Get()
	switch {
	case sent == 0:
		return false, completed
	case faults.CutStreamAfter > 0 && sent >= faults.CutStreamAfter:
		return true, connectionCut
	case faults.BreakStreamAfter > 0 && sent >= faults.BreakStreamAfter:
		r.sendBrokenChunk()
		return true, endedEarly
	case faults.EndStreamEarly > 0 && sent >= faults.EndStreamEarly:
		// Returning ends the HTTP answer in order, as an engine does that stops.
		return true, endedEarly
	default:
		return false, completed
	}
}

func (r *run) sendBrokenChunk() {
	if r.call.chat.Stream {
		r.sendEvent([]byte(brokenChunk), nil)
		return
	}
	server.WriteJSON(r.w, http.StatusOK, []byte(brokenChunk), nil)
}

// emitToken generates one token and reports whether the client is still connected.
func (r *run) emitToken(text string, first bool) bool {
	r.incarnation.countToken()
	r.incarnation.engine.counters.countToken()
	if !r.call.chat.Stream {
		r.text.WriteString(text)
		return true
	}
	chunk, err := r.answer.EncodeToken(text, first)
	return r.sendEvent(chunk, err)
}

func (r *run) finishAnswer(length int) outcome {
	usage := engineapi.Usage{
		Prompt:     promptTokens(&r.call.chat),
		Completion: length,
	}
	if !r.call.chat.Stream {
		body, err := r.answer.EncodeWhole(r.text.String(), usage)
		server.WriteJSON(r.w, http.StatusOK, body, err)
		return completed
	}
	chunk, err := r.answer.EncodeFinish()
	sent := r.sendEvent(chunk, err)
	if sent && r.call.chat.IncludeUsage {
		chunk, err = r.answer.EncodeUsage(usage)
		sent = r.sendEvent(chunk, err)
	}
	if !sent || !r.sendEvent([]byte(engineapi.StreamEnd), nil) {
		return cancelled
	}
	return completed
}

// sendEvent writes and flushes one event, and reports whether the client is still
// connected.
func (r *run) sendEvent(data []byte, err error) bool {
	if err != nil {
		return false
	}
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := r.w.Write(event); err != nil {
		return false
	}
	return http.NewResponseController(r.w).Flush() == nil
}
