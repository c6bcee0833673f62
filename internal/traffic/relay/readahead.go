package relay

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/upstream"
)

const (
	// slowWriteTime is how long a client may take to read an event before the rest of its stream is
	// read ahead: servers cut off a stream that is not read.
	slowWriteTime = 250 * time.Millisecond
	// aheadPartBytes is the part in which a stream is read ahead.
	aheadPartBytes = 4 << 10
)

// readAhead reads a body. Once it is started it reads on in the background, as far as there is room
// for what is not taken yet. It is used by one goroutine, but for start.
type readAhead struct {
	body io.Reader
	// onStart is called when the background starts.
	onStart func()
	reading tomb.Tomb

	mu      sync.Mutex
	changed sync.Cond
	hold    heldbytes.Hold
	// isReading is whether the user reads the body itself, isStarted whether the background does.
	isReading bool
	isStarted bool
	isStopped bool
	parts     [][]byte
	err       error
}

func newReadAhead(body io.Reader, hold heldbytes.Hold, onStart func()) *readAhead {
	r := &readAhead{
		body:    body,
		onStart: onStart,
		hold:    hold,
	}
	r.changed.L = &r.mu
	return r
}

// start starts reading in the background, unless the user of Read waits for the body.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReading || r.isStarted || r.isStopped || r.err != nil {
		return
	}
	r.isStarted = true
	r.onStart()
	r.reading.Go(r.run)
}

func (r *readAhead) run() error {
	part := make([]byte, aheadPartBytes)
	for {
		if !r.awaitRoom() {
			return nil
		}
		n, err := r.body.Read(part)
		r.mu.Lock()
		r.hold.ReleaseAnswer(unit.Bytes(aheadPartBytes - n))
		if n > 0 {
			r.parts = append(r.parts, bytes.Clone(part[:n])) // what is kept is what counts as held
		}
		r.err = err
		r.changed.Broadcast()
		r.mu.Unlock()
		if err != nil {
			return nil
		}
	}
}

// awaitRoom waits until there is room for a part, or nothing to be taken, and returns false if the
// reader is stopped.
func (r *readAhead) awaitRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.isStopped && !r.hold.Grow(aheadPartBytes) && len(r.parts) > 0 {
		r.changed.Wait()
	}
	return !r.isStopped
}

// Read implements io.Reader.
func (r *readAhead) Read(buffer []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.isStarted && len(r.parts) == 0 && r.err == nil {
		r.changed.Wait()
	}
	if len(r.parts) > 0 {
		return r.take(buffer), nil
	}
	if r.err != nil {
		return 0, r.err
	}
	r.isReading = true
	r.mu.Unlock()
	n, err := r.body.Read(buffer)
	r.mu.Lock()
	r.isReading = false
	r.err = err
	return n, err
}

func (r *readAhead) take(buffer []byte) int {
	n := copy(buffer, r.parts[0])
	if r.parts[0] = r.parts[0][n:]; len(r.parts[0]) == 0 {
		r.parts[0] = nil
		r.parts = r.parts[1:]
	}
	r.hold.ReleaseAnswer(unit.Bytes(n))
	r.changed.Broadcast()
	return n
}

// isSlow reports whether the background reads.
func (r *readAhead) isSlow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isStarted
}

// hasAll reports whether the background has read the body to its end.
func (r *readAhead) hasAll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isStarted && r.err == io.EOF //nolint:errorlint // the end itself is not wrapped
}

// stop ends the reader, whose body must be closed, and releases what it holds.
func (r *readAhead) stop() {
	r.mu.Lock()
	r.isStopped = true
	isStarted := r.isStarted
	r.changed.Broadcast()
	r.mu.Unlock()
	if isStarted {
		_ = r.reading.Wait() // its error is that of Read
	}
	r.hold.Release()
}

// eventWriter writes the events of a server's stream to the client. While the client doesn't take
// one, the rest of the stream is read ahead, and the client is cut off after unreadTimeout.
type eventWriter struct {
	state   *requestState
	control *http.ResponseController
	source  *readAhead
	timer   *time.Timer
}

func (s *requestState) newEventWriter(exchange *upstream.Exchange, ticket *balance.Ticket) *eventWriter {
	w := &eventWriter{
		state:   s,
		control: http.NewResponseController(s.writer),
	}
	hold := s.handler.HeldBytes.Hold()
	hold.UseServer(string(ticket.Server))
	w.source = newReadAhead(exchange.Response.Body, hold, w.limitWrite)
	w.timer = time.AfterFunc(slowWriteTime, w.source.start)
	w.timer.Stop()
	return w
}

// limitWrite sets the time that the client has to read what is written now.
func (w *eventWriter) limitWrite() {
	_ = w.control.SetWriteDeadline(time.Now().Add(unreadTimeout)) // without one it is held for longer
}

// write writes an event, and sends it unless more is to follow at once.
func (w *eventWriter) write(event []byte, isMoreReady bool) error {
	if w.source.isSlow() {
		w.limitWrite()
	}
	w.timer.Reset(slowWriteTime)
	defer w.timer.Stop()
	if _, err := w.state.writer.Write(event); err != nil {
		return err
	}
	if !isMoreReady {
		w.state.flush()
	}
	return nil
}

// close ends the writer. The exchange is over then.
func (w *eventWriter) close(exchange *upstream.Exchange) {
	w.timer.Stop()
	exchange.Close()
	w.source.stop()
	if w.source.isSlow() {
		_ = w.control.SetWriteDeadline(time.Time{}) // the connection may be kept
	}
}
