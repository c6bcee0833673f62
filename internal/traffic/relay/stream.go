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
	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/upstream"
)

// stream is the state of an answer that is sent as a series of events.
type stream struct {
	started bool
	// lastEventID is the id of the last event passed on, as the server wrote it.
	lastEventID string
	version     ident.Version
	// firstEventAfter is the time from the request's arrival to the first event, longestGap
	// the longest pause between events after it, lastEventAt the time of the last event
	// passed on.
	firstEventAfter time.Duration
	longestGap      time.Duration
	lastEventAt     time.Time
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// passStream passes a stream on, whole events only: a server may stop in the middle of an
// event, and another server that resumes the stream starts with a whole event.
func (s *requestState) passStream(ctx context.Context, exchange *upstream.Exchange, ticket *balance.Ticket, answer *Answer) sendResult {
	writer := s.newEventWriter(exchange, ticket)
	defer writer.close(exchange)
	reader := bufio.NewReaderSize(writer.source, eventBufferBytes)
	mustConfirm := s.build != "" // the stream began before this send
	for {
		event, err := readEvent(reader, &s.hold)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return s.handleStreamEnd(exchange)
		}
		if err != nil {
			return s.handleStreamCut(ctx, err)
		}
		id, hasID := eventID(event)
		if hasID && !s.isNextEvent(id) {
			s.flush()
			return sendResult{
				result: balance.Broken,
				status: http.StatusOK,
				reason: "the events are not in order: " + s.stream.lastEventID + " then " + id,
			}
		}
		if mustConfirm && !s.handler.ControlPlane.ConfirmServer(ctx, s.service, ticket.Server, ticket.Incarnation) {
			return sendResult{
				result: balance.Left, // the server is not to blame
				status: http.StatusOK,
				reason: "the server may have started again with other software",
			}
		}
		mustConfirm = false
		now := s.handler.Now()
		if hasID {
			s.recordAnswerBegun(ticket, now)
		}
		if !s.stream.started {
			s.startStream(ctx, now, exchange.Response, ticket, answer)
		}
		s.stream.longestGap = max(s.stream.longestGap, now.Sub(s.stream.lastEventAt))
		s.stream.lastEventAt = now
		ticket.RecordFirstByte(now)
		if writer.source.hasAll() {
			s.endSend(ticket, now, balance.Answered) // the server is done, though the client isn't
		}
		if err := writer.write(event, hasBufferedEvent(reader)); err != nil {
			return sendResult{
				result: balance.Left,
				status: http.StatusOK,
				reason: "the client has left",
			}
		}
		s.hold.UseServer(string(ticket.Server)) // the event is no longer held
		if hasID {
			s.stream.lastEventID = id
		}
	}
}

// flush sends buffered bytes to the client.
func (s *requestState) flush() {
	if flusher, can := s.writer.(http.Flusher); can {
		flusher.Flush()
	}
}

// hasBufferedEvent reports whether another whole event has already arrived, so that both
// can leave in one packet. A part of an event doesn't count: the client would get this
// event only after the rest of the next one, and never if the server breaks off inside it.
func hasBufferedEvent(reader *bufio.Reader) bool {
	buffered, err := reader.Peek(reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// freeEventBytes is the part of an event that doesn't count as held.
const freeEventBytes = 4 << 10

// eventBufferBytes holds several events of the usual 40 to 240 bytes.
const eventBufferBytes = 1 << 10

// startStream sends the first server's header to the client. A stream that another server
// continues keeps this header.
func (s *requestState) startStream(ctx context.Context, now time.Time, response *http.Response, ticket *balance.Ticket, answer *Answer) {
	s.stream.started = true
	s.stream.lastEventAt = now
	s.stream.version = answer.Version
	s.recordOrigin(ctx, now, ticket)
	s.stream.firstEventAfter = now.Sub(s.arrived)
	s.handler.Metrics.recordFirstEvent(s.route, s.stream.firstEventAfter)
	copyHeader(s.writer.Header(), response.Header)
	s.writer.Header().Del("Content-Length")
	s.writer.WriteHeader(response.StatusCode)
}

// isNextEvent reports whether an event id follows the last one. The first event of a stream
// that the client doesn't resume may have any number. After it, a gap in the numbers is a
// piece that the client would miss.
func (s *requestState) isNextEvent(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	previousID := s.stream.lastEventID
	if previousID == "" {
		previousID = s.request.ResumeAfter
	}
	if last, err := strconv.ParseInt(previousID, 10, 64); err == nil && number != last+1 {
		return false
	}
	return true
}

func (s *requestState) handleStreamEnd(exchange *upstream.Exchange) sendResult {
	if !s.stream.started {
		return sendResult{
			result: balance.Broken,
			status: http.StatusOK,
			reason: "the stream has no events",
		}
	}
	exchange.Release()
	return sendResult{
		result:   balance.Answered,
		finished: true,
		status:   http.StatusOK,
	}
}

func (s *requestState) handleStreamCut(ctx context.Context, err error) sendResult {
	result := sendResult{
		result: balance.Broken,
		status: http.StatusOK,
		reason: "the stream was cut: " + err.Error(),
	}
	switch {
	case ctx.Err() != nil:
		result.result = balance.Left
	case errors.Is(err, httpsend.ErrNoRoom):
		s.handler.Metrics.recordNoRoom("Event")
		result.result = balance.Left // the server is not to blame
		result.endsRequest = true
	}
	return result
}

// readEvent reads up to the empty line that ends an event (server-sent events, WHATWG HTML
// 9.2). io.EOF with nothing read is the end of the stream; io.ErrUnexpectedEOF is an event
// that was cut.
// What exceeds freeEventBytes needs room in the hold.
func readEvent(reader *bufio.Reader, hold *heldbytes.Hold) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if len(event)+len(line) > freeEventBytes && !hold.Grow(len(line)) {
			return nil, httpsend.ErrNoRoom
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(event) > maxEventBytes:
			return event, errors.New("event over the limit")
		}
		if isEmptyLine(line) && (len(event) == len(line) || endsInNewline(event[:len(event)-len(line)])) {
			return event, nil
		}
	}
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

func endsInNewline(text []byte) bool {
	return bytes.HasSuffix(text, []byte{'\n'})
}

// eventID returns an event's id field.
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
