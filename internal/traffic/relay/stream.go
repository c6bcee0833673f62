package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/upstream"
)

// stream is what the client has of an answer that comes as a series of events.
type stream struct {
	begun bool
	// lastID is the id of the last event passed on, as the server wrote it.
	lastID  string
	version ident.Version
	// firstAfter is how long the first event took, longestGap the longest pause after
	// it, lastAt when the last event was passed on.
	firstAfter time.Duration
	longestGap time.Duration
	lastAt     time.Time
}

// maxEvent bounds one event.
const maxEvent = 1 << 20

// passStream passes a stream on, whole events only: a server may stop inside one,
// and what follows from another server has to begin at the start of an event.
func (s *serving) passStream(ctx context.Context, exchange *upstream.Exchange, ticket *balance.Ticket, answer *Answer) sent {
	reader := bufio.NewReaderSize(exchange.Response.Body, eventBuffer)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return s.streamEnded(exchange)
		}
		if err != nil {
			return s.streamCut(ctx, err)
		}
		id, hasID := eventID(event)
		if hasID && !s.follows(id) {
			s.flush()
			return sent{
				result: balance.Broken,
				status: http.StatusOK,
				why:    "the events are not in order: " + s.stream.lastID + " then " + id,
			}
		}
		now := s.handler.Now()
		if !s.stream.begun {
			s.begin(now, exchange.Response, answer)
		}
		s.stream.longestGap = max(s.stream.longestGap, now.Sub(s.stream.lastAt))
		s.stream.lastAt = now
		ticket.Started(now)
		if _, err := s.writer.Write(event); err != nil {
			return sent{
				result: balance.Left,
				status: http.StatusOK,
				why:    "the client has left",
			}
		}
		if hasID {
			s.stream.lastID = id
		}
		if !wholeEventWaits(reader) {
			s.flush()
		}
	}
}

// flush sends what has been written.
func (s *serving) flush() {
	if flusher, can := s.writer.(http.Flusher); can {
		flusher.Flush()
	}
}

// wholeEventWaits tells that another event has already come, so that both leave in
// one packet. A part of one doesn't count: the caller would wait for the rest of the
// next event, and never get this one if the server breaks off inside it.
func wholeEventWaits(reader *bufio.Reader) bool {
	waiting, err := reader.Peek(reader.Buffered())
	return err == nil && (bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n")))
}

// eventBuffer holds several events of the usual 40 to 240 bytes.
const eventBuffer = 1 << 10

// begin writes the header of the first server: a stream that goes on at another
// one keeps it.
func (s *serving) begin(now time.Time, response *http.Response, answer *Answer) {
	s.stream.begun = true
	s.stream.lastAt = now
	s.stream.version = answer.Version
	s.stream.firstAfter = now.Sub(s.arrived)
	s.handler.Metrics.firstEvent(s.route, s.stream.firstAfter)
	copyHeader(s.writer.Header(), response.Header)
	s.writer.Header().Del("Content-Length")
	s.writer.WriteHeader(response.StatusCode)
}

// follows tells whether an event is the next one. After the first event of an
// answer, a number that is left out is a piece that the client would miss.
func (s *serving) follows(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	known := s.stream.lastID
	if known == "" {
		known = s.request.ResumeAfter
	}
	if last, err := strconv.ParseInt(known, 10, 64); err == nil && number != last+1 {
		return false
	}
	return true
}

func (s *serving) streamEnded(exchange *upstream.Exchange) sent {
	if !s.stream.begun {
		return sent{
			result: balance.Broken,
			status: http.StatusOK,
			why:    "the stream has no events",
		}
	}
	exchange.Keep()
	return sent{
		result:   balance.Answered,
		finished: true,
		status:   http.StatusOK,
	}
}

func (s *serving) streamCut(ctx context.Context, err error) sent {
	result := sent{
		result: balance.Broken,
		status: http.StatusOK,
		why:    "the stream was cut: " + err.Error(),
	}
	if ctx.Err() != nil {
		result.result = balance.Left
	}
	return result
}

// readEvent reads up to the empty line that ends an event (server-sent events,
// WHATWG HTML 9.2). io.EOF with nothing read is the end of the stream; with
// something read it is an event that was cut.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEvent:
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(event) > maxEvent:
			return event, errors.New("event over the limit")
		}
		if isEmptyLine(line) && (len(event) == len(line) || endsLine(event[:len(event)-len(line)])) {
			return event, nil
		}
	}
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

func endsLine(text []byte) bool {
	return bytes.HasSuffix(text, []byte{'\n'})
}

// eventID finds an event's id.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte{'\n'})
		event = rest
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}
