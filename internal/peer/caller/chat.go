package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/traffic/dispatch"
)

func (s *Server) chat(w http.ResponseWriter, request bunrouter.Request) error {
	read, failure := s.understand(w, request.Request)
	if failure != nil {
		return s.turnAway(w, &read, "", failure)
	}
	var body chatBody
	if err := json.Unmarshal(read.Body, &body); err != nil {
		return s.turnAway(w, &read, "", dispatch.Untouched(dispatch.CodeMalformed, "the body is not a chat request: "+err.Error(), time.Time{}))
	}
	if body.Model == "" || len(body.Messages) == 0 {
		return s.turnAway(w, &read, body.Model, dispatch.Untouched(dispatch.CodeMalformed, "model and messages: found none, allowed a model's or adapter's name and at least one message", time.Time{}))
	}
	w.Header().Set(HeaderRequest, string(read.ID))
	sink := newSink(s, w, read.ID)
	failure = s.Dispatcher.Chat(request.Context(), dispatch.Chat{
		Request:   read,
		Model:     ident.ModelName(body.Model),
		Stream:    body.Stream,
		MaxTokens: unit.Tokens(max(body.MaxTokens, body.MaxCompletionTokens, 0)),
	}, sink)
	return sink.end(failure)
}

// understand reads the headers and the whole body.
func (s *Server) understand(w http.ResponseWriter, request *http.Request) (dispatch.Request, *dispatch.Failure) {
	read, err := s.read(request, s.Now())
	if err != nil {
		return read, dispatch.Untouched(dispatch.CodeHeaderInvalid, err.Error(), time.Time{})
	}
	limited := http.MaxBytesReader(w, request.Body, int64(s.Settings.MaxBody))
	read.Body, err = io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return read, dispatch.Untouched(dispatch.CodeBodyTooLarge, "the body is larger than "+s.Settings.MaxBody.String(), time.Time{})
	}
	if err != nil {
		return read, dispatch.Untouched(dispatch.CodeMalformed, "the body ended early: "+err.Error(), time.Time{})
	}
	return read, nil
}
