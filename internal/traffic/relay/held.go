package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/httpsend"
)

const (
	// MaxAnswerBytes bounds the answers that are read in full before they are passed on.
	MaxAnswerBytes = 16 * unit.Mebibyte
	// maxPartBytes is the largest part in which a body is read, firstPartBytes the first one where
	// the length is not known.
	maxPartBytes   = 64 << 10
	firstPartBytes = 2 << 10
	// writePartBytes is how much a client must read within unreadTimeout. One that reads less has
	// stopped reading.
	writePartBytes = 16 << 10
	unreadTimeout  = 30 * time.Second
)

// readAnswerBody reads an answer's body to its end, in parts, so that none is copied and each can be
// released once it has been written. length is the answer's own word on it, -1 for none. The error
// is httpsend.ErrNoRoom, httpsend.ErrTooLarge, or that of the connection.
func readAnswerBody(body io.Reader, length int64, hold *heldbytes.Hold) ([][]byte, error) {
	var parts [][]byte
	total := int64(0)
	size := int64(firstPartBytes)
	for {
		if length >= 0 {
			size = max(min(length-total, maxPartBytes), 1) // the last byte is the end
		}
		part, isEnd, err := readPart(body, int(size), hold)
		if err != nil {
			return nil, err
		}
		if total += int64(len(part)); total > int64(MaxAnswerBytes) {
			return nil, errors.Wrap(httpsend.ErrTooLarge, "answer")
		}
		if len(part) > 0 {
			parts = append(parts, part)
		}
		if isEnd {
			return parts, nil
		}
		size = min(2*size, maxPartBytes)
	}
}

// readPart reads up to size bytes, and reports whether they are the last ones.
func readPart(body io.Reader, size int, hold *heldbytes.Hold) ([]byte, bool, error) {
	if !hold.Grow(size) {
		return nil, false, httpsend.ErrNoRoom
	}
	part := make([]byte, size)
	filled := 0
	for filled < size {
		n, err := body.Read(part[filled:])
		filled += n
		switch {
		case errors.Is(err, io.EOF):
			return part[:filled], true, nil
		case err != nil:
			return nil, false, errors.Wrap(err, "body")
		}
	}
	return part, false, nil
}

// writeParts writes an answer's body. Each part is released when the client, or the kernel, has it.
// A client that stops reading is cut off: its answer would be held for as long as it likes.
func (s *requestState) writeParts(parts [][]byte) {
	control := http.NewResponseController(s.writer)
	for i, part := range parts {
		parts[i] = nil
		size := unit.Bytes(len(part))
		for len(part) > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout)) // without one it is held for longer
			n, err := s.writer.Write(part[:min(len(part), writePartBytes)])
			if err != nil {
				return // the client has left, or doesn't read
			}
			part = part[n:]
		}
		s.hold.ReleaseAnswer(size)
	}
	_ = control.SetWriteDeadline(time.Time{})
}

// dropBody releases the request's body, which is not sent again.
func (s *requestState) dropBody() {
	s.request.Body = nil
	s.hold.ReleaseBody()
}

// refuseForMemory ends a request that has not been sent and for which this host has no memory left.
func (s *requestState) refuseForMemory() {
	s.handler.Metrics.recordNoRoom("Request")
	s.refuse(busyRetryAfter, "the host has no memory left for the request")
}
