package caller

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/traffic/dispatch"
)

// Parts of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
	streamEnd  = "data: [DONE]\n\n"
)

// sink writes one answer to one caller.
type sink struct {
	server  *Server
	writer  http.ResponseWriter
	flusher *http.ResponseController
	request ident.RequestID
	begun   bool
	whole   bool
}

func newSink(server *Server, writer http.ResponseWriter, request ident.RequestID) *sink {
	return &sink{
		server:  server,
		writer:  writer,
		flusher: http.NewResponseController(writer),
		request: request,
	}
}

// Begin implements dispatch.Sink.
func (s *sink) Begin() {
	s.begun = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

// Chunk implements dispatch.Sink.
func (s *sink) Chunk(data []byte) error {
	event := make([]byte, 0, len(eventStart)+len(data)+len(eventEnd))
	event = append(event, eventStart...)
	event = append(event, data...)
	event = append(event, eventEnd...)
	return s.write(event)
}

// writePatience is how long a caller may take to read what is written to it. One
// that has stopped reading, and keeps its connection, would hold its request and
// with it the host's planned stop for ever.
const (
	writePatience = 30 * time.Second
	// slowestReader is how many bytes a second a caller must take.
	slowestReader = 16 << 10
)

func (s *sink) write(data []byte) error {
	patience := s.server.patience + time.Duration(len(data)/slowestReader)*time.Second
	if err := s.flusher.SetWriteDeadline(time.Now().Add(patience)); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	if _, err := s.writer.Write(data); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(s.flusher.Flush(), "write to the caller")
}

// Whole implements dispatch.Sink.
func (s *sink) Whole(answer dispatch.Whole) error {
	s.whole = true
	header := s.writer.Header()
	for name, values := range answer.Header {
		// The request's id is the one that this host answers under.
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

// end gives the caller the end mark or the failure. A stream that was cut gets
// an error event and no end mark, and its connection is broken: nobody can take
// it for whole.
func (s *sink) end(failure *dispatch.Failure) error {
	switch {
	case s.whole:
		return nil
	case failure == nil:
		return s.write([]byte(streamEnd))
	case !s.begun:
		return s.server.fail(s.writer, failure)
	}
	_ = s.Chunk(encodeFailure(failure))
	panic(http.ErrAbortHandler)
}
