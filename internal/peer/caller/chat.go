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
	incoming, failure := s.readRequest(w, request.Request)
	if failure != nil {
		return s.reject(w, &incoming, "", failure)
	}
	var body chatBody
	if err := json.Unmarshal(incoming.Body, &body); err != nil {
		return s.reject(w, &incoming, "", dispatch.NewNotSentFailure(dispatch.CodeMalformed, "the body is not a chat request: "+err.Error(), time.Time{}))
	}
	if body.Model == "" || len(body.Messages) == 0 {
		return s.reject(w, &incoming, body.Model, dispatch.NewNotSentFailure(dispatch.CodeMalformed, "model and messages: found none, allowed a model's or adapter's name and at least one message", time.Time{}))
	}
	w.Header().Set(HeaderRequest, string(incoming.ID))
	sink := newSink(s, w, incoming.ID)
	failure = s.Dispatcher.ServeChat(request.Context(), dispatch.ChatRequest{
		Request:   incoming,
		Model:     ident.ModelName(body.Model),
		Stream:    body.Stream,
		MaxTokens: unit.Tokens(max(body.MaxTokens, body.MaxCompletionTokens, 0)),
	}, sink)
	return sink.end(failure)
}

// readRequest parses the headers and reads the whole body.
func (s *Server) readRequest(w http.ResponseWriter, request *http.Request) (dispatch.Request, *dispatch.Failure) {
	incoming, err := s.parseHeaders(request, s.Now())
	if err != nil {
		return incoming, dispatch.NewNotSentFailure(dispatch.CodeHeaderInvalid, err.Error(), time.Time{})
	}
	limited := http.MaxBytesReader(w, request.Body, int64(s.Settings.MaxBody))
	incoming.Body, err = io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return incoming, dispatch.NewNotSentFailure(dispatch.CodeBodyTooLarge, "the body is larger than "+s.Settings.MaxBody.String(), time.Time{})
	}
	if err != nil {
		return incoming, dispatch.NewNotSentFailure(dispatch.CodeMalformed, "the body ended early: "+err.Error(), time.Time{})
	}
	return incoming, nil
}
