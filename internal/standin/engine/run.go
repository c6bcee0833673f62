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

// brokenChunk is what BreakStreamAfter sends.
const brokenChunk = `{"id":"broken","object":`

// ending is how a run ended.
type ending int

const (
	completed ending = iota
	cancelled
	// cutOff and endedEarly are the work of fault switches: the connection is
	// cut, or the answer ends in order before it is whole.
	cutOff
	endedEarly
)

// run is one call that has its slot.
type run struct {
	life    *life
	ctx     context.Context
	w       http.ResponseWriter
	call    *call
	version ident.Version
	answer  engineapi.Answer
	text    strings.Builder
}

// serve runs the prompt and generates the answer.
func (r *run) serve() ending {
	r.answer = engineapi.Answer{
		ID:      "chatcmpl-" + string(r.call.attempt),
		Created: time.Now(),
		Model:   r.call.chat.Model,
	}
	cached := r.life.lookUpPrefixes(&r.call.chat)
	if !server.Pause(r.ctx, r.life.firstTokenTime(cached)) {
		return cancelled
	}
	if r.call.hasMarker(r.life.engine.Faults.Get().CrashOnMarker) {
		r.life.engine.Crash()
		return cutOff
	}
	if r.call.chat.Stream {
		r.w.Header().Set("Content-Type", engineapi.ContentTypeStream)
		r.w.Header().Set("Cache-Control", "no-cache")
	}
	return r.generate()
}

func (r *run) generate() ending {
	script := newScript(&r.call.chat, r.version)
	gate := r.life.engine.gate()
	for at := r.call.resumeAt; at < script.length; at++ {
		if at > r.call.resumeAt && !server.Pause(r.ctx, r.life.tokenTime()) {
			return cancelled
		}
		if !r.life.engine.server.Pass(r.ctx, gate) {
			return cancelled
		}
		if stop, how := r.interrupted(at - r.call.resumeAt); stop {
			return how
		}
		if !r.token(script.token(at), at == 0) {
			return cancelled
		}
	}
	return r.finish(script.length)
}

// interrupted ends the answer where a switch says so, after sent tokens.
func (r *run) interrupted(sent int) (bool, ending) {
	faults := r.life.engine.Faults.Get()
	switch {
	case sent == 0:
		return false, completed
	case faults.CutStreamAfter > 0 && sent >= faults.CutStreamAfter:
		return true, cutOff
	case faults.BreakStreamAfter > 0 && sent >= faults.BreakStreamAfter:
		r.breakOff()
		return true, endedEarly
	case faults.EndStreamEarly > 0 && sent >= faults.EndStreamEarly:
		// Returning ends the HTTP answer in order, as an engine that stops does.
		return true, endedEarly
	default:
		return false, completed
	}
}

func (r *run) breakOff() {
	if r.call.chat.Stream {
		r.send([]byte(brokenChunk), nil)
		return
	}
	server.WriteJSON(r.w, http.StatusOK, []byte(brokenChunk), nil)
}

// token tells whether the client is still there.
func (r *run) token(text string, first bool) bool {
	r.life.countToken()
	r.life.engine.ledger.token()
	if !r.call.chat.Stream {
		r.text.WriteString(text)
		return true
	}
	chunk, err := r.answer.EncodeToken(text, first)
	return r.send(chunk, err)
}

func (r *run) finish(length int) ending {
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
	sent := r.send(chunk, err)
	if sent && r.call.chat.IncludeUsage {
		chunk, err = r.answer.EncodeUsage(usage)
		sent = r.send(chunk, err)
	}
	if !sent || !r.send([]byte(engineapi.StreamEnd), nil) {
		return cancelled
	}
	return completed
}

// send writes one event at once and tells whether the client is still there.
func (r *run) send(data []byte, err error) bool {
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
