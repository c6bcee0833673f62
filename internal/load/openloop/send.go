package openloop

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/result"
	"cicadaloom/internal/peer/caller"
)

// maxAnswerBytes bounds an unstreamed answer.
const maxAnswerBytes = 4 << 20

type wireChat struct {
	Model     string        `json:"model"`
	Messages  []wireMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// encodeRequest returns the method, path and body of a request.
func encodeRequest(request *demand.Request) (string, string, []byte) {
	if call := request.Service; call != nil {
		return call.Method, caller.PathServices + request.Name + call.Path, []byte(request.Message)
	}
	chat := wireChat{
		Model:     request.Name,
		Stream:    request.Chat.Stream,
		MaxTokens: request.Chat.Tokens,
	}
	if request.Chat.Prefix != "" {
		chat.Messages = append(chat.Messages, wireMessage{
			Role:    "system",
			Content: request.Chat.Prefix,
		})
	}
	chat.Messages = append(chat.Messages, wireMessage{
		Role:    "user",
		Content: request.Message,
	})
	// Encoding a struct of strings, numbers and bools can't fail.
	body, _ := json.Marshal(chat)
	return http.MethodPost, caller.PathChat, body
}

// send sends one request and returns its record once the answer has ended.
func (s *Sender) send(ctx context.Context, request *demand.Request) *result.Record {
	record := &result.Record{
		Request:  request,
		SentLate: time.Since(request.At),
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(deadlineGrace))
	defer cancel()
	response, err := s.sendToTargets(ctx, request)
	if err != nil {
		record.Kind = result.NoAnswer
		record.Cause = failureCause(err)
		return record
	}
	defer func() { _ = response.Body.Close() }()
	record.Status = response.StatusCode
	record.Run = response.Header.Get(caller.HeaderRun)
	record.Replayed = response.Header.Get(caller.HeaderReplayed) != ""
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		readStream(record, response.Body)
	} else {
		readUnstreamed(record, response.Body)
	}
	return record
}

// sendToTargets sends a request to the first target that accepts a connection. It
// makes at most as many attempts as there are targets.
func (s *Sender) sendToTargets(ctx context.Context, request *demand.Request) (*http.Response, error) {
	for range len(s.balancer.targets) - 1 {
		target := s.balancer.pick(request.Random, time.Now())
		response, err := s.sendTo(ctx, target.address, request)
		if err == nil || ctx.Err() != nil || !isDialError(err) {
			return response, err
		}
		target.markDown(time.Now())
	}
	target := s.balancer.pick(request.Random, time.Now())
	return s.sendTo(ctx, target.address, request)
}

func (s *Sender) sendTo(ctx context.Context, address string, request *demand.Request) (*http.Response, error) {
	method, path, body := encodeRequest(request)
	outgoing, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	// With GetBody and an Idempotency-Key, net/http would resend a request when its
	// connection breaks, and hide the failure.
	outgoing.GetBody = nil
	outgoing.Header.Set("Content-Type", "application/json")
	outgoing.Header.Set(caller.HeaderRequest, string(request.ID))
	outgoing.Header.Set(caller.HeaderDeadline, request.Deadline.UTC().Format(time.RFC3339Nano))
	if request.Class != "" {
		outgoing.Header.Set(caller.HeaderClass, string(request.Class))
	}
	if request.Key != "" {
		outgoing.Header.Set(caller.HeaderIdempotencyKey, string(request.Key))
	}
	response, err := s.client.Do(outgoing)
	return response, errors.Wrap(err, "ask")
}

// failureCause returns a name of a failure without addresses, by which failures are
// counted.
func failureCause(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "gave up after the deadline"
	case errors.Is(err, context.Canceled):
		return "interrupted"
	case isDialError(err):
		return "no connection"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	default:
		return "connection broken"
	}
}
