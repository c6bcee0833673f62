package caller

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/traffic/dispatch"
)

// Framing of server-sent events.
const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
	streamEnd   = "data: [DONE]\n\n"
)

// sink writes one answer to one caller. It implements dispatch.Sink.
type sink struct {
	server       *Server
	writer       http.ResponseWriter
	flusher      *http.ResponseController
	request      ident.RequestID
	started      bool
	wholeWritten bool
}

func newSink(server *Server, writer http.ResponseWriter, request ident.RequestID) *sink {
	return &sink{
		server:  server,
		writer:  writer,
		flusher: http.NewResponseController(writer),
		request: request,
	}
}

// StartStream implements dispatch.Sink.
func (s *sink) StartStream() {
	s.started = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

// SendChunk implements dispatch.Sink.
func (s *sink) SendChunk(data []byte) error {
	event := make([]byte, 0, len(eventPrefix)+len(data)+len(eventSuffix))
	event = append(event, eventPrefix...)
	event = append(event, data...)
	event = append(event, eventSuffix...)
	return s.write(event)
}

// defaultWriteTimeout is how long a caller may take to read what is written to it.
// Without a limit a caller that stops reading and keeps its connection would hold its
// request for ever, and with it the shutdown of the host.
const (
	defaultWriteTimeout = 30 * time.Second
	// minBytesPerSecond is the slowest rate at which a caller may read: the timeout
	// grows by a second for each such number of bytes.
	minBytesPerSecond = 16 << 10
)

func (s *sink) write(data []byte) error {
	timeout := s.server.writeTimeout + time.Duration(len(data)/minBytesPerSecond)*time.Second
	if err := s.flusher.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	if _, err := s.writer.Write(data); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(s.flusher.Flush(), "write to the caller")
}

// SendAnswer implements dispatch.Sink.
func (s *sink) SendAnswer(answer dispatch.Answer) error {
	s.wholeWritten = true
	header := s.writer.Header()
	for name, values := range answer.Header {
		// The request id is this host's, which is already set.
		if name != HeaderRequest {
			header[name] = values
		}
	}
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	s.writer.WriteHeader(answer.Status)
	return s.write(answer.Body)
}

// end completes the answer: it writes the end marker or the failure. A stream that has
// started and failed gets an error event and no end marker, and its connection is
// aborted, so that nobody takes it for complete.
func (s *sink) end(failure *dispatch.Failure) error {
	switch {
	case s.wholeWritten:
		return nil
	case failure == nil:
		return s.write([]byte(streamEnd))
	case !s.started:
		return s.server.fail(s.writer, failure)
	}
	_ = s.SendChunk(encodeFailure(failure))
	panic(http.ErrAbortHandler)
}
