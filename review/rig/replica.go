package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Arrival is one request as it arrived at a replica.
type Arrival struct {
	At      time.Time
	Replica string
	Request *http.Request
	Body    []byte
	ID      string
}

// Replica is a backend server. Its connections are plain TCP, so that a script decides on
// each byte. The fields above Start's must be set before it.
type Replica struct {
	ID         string
	Service    string
	DataCentre string
	Slots      int
	// Queue is how many requests wait for a slot; more are refused.
	Queue int
	// Work is how long a request runs.
	Work time.Duration
	// LinkDelay is how long bytes take one way.
	LinkDelay time.Duration
	// LateExtra is asked for each whole answer, and tells whether the replica sends it once more
	// where the next answer on the connection is expected; nil for never.
	LateExtra func(answer *Answer) bool
	// Garbles is asked for each request that isn't refused, and tells whether the replica sends
	// bytes that are no answer, in place of running it; nil for never.
	Garbles func(arrival *Arrival) bool
	// Ran is called when a request begins to run; Answered when an answer is sent. Both may be nil.
	Ran      func(arrival *Arrival)
	Answered func(arrival *Arrival, answer *Answer, isExtra bool)

	// Address is where the replica answers.
	Address string

	store    *Store
	listener net.Listener
	born     int64
	mu       sync.Mutex
	taken    int
	slots    chan struct{}
	stopped  chan struct{}
}

// Answer is one answer of a replica.
type Answer struct {
	Status int
	Header string
	Body   string
}

// NotRun reports whether the answer says that the request did not run.
func (a *Answer) NotRun() bool {
	return strings.Contains(a.Header, "Not-Executed:")
}

func (a *Answer) bytes() []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", a.Status, http.StatusText(a.Status), a.Header, len(a.Body), a.Body)
	return text.Bytes()
}

// heartbeatInterval is how often a replica writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// Start starts the replica, which registers itself in the store.
func (p *Replica) Start(store *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.listener = listener
	p.Address = listener.Addr().String()
	p.store = store
	p.born = time.Now().UnixMilli()
	p.slots = make(chan struct{}, p.Slots)
	p.stopped = make(chan struct{})
	if err := p.register(); err != nil {
		return err
	}
	go p.beat()
	go p.accept()
	return nil
}

// Stop closes the listener.
func (p *Replica) Stop() {
	close(p.stopped)
	_ = p.listener.Close()
}

func (p *Replica) register() error {
	return p.store.Put("servers/"+p.ID, map[string]any{
		"service":           p.Service,
		"address":           p.Address,
		"zone":              p.DataCentre,
		"version":           "v1",
		"slots":             p.Slots,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          0,
		"born":              p.born,
	})
}

func (p *Replica) beat() {
	for {
		select {
		case <-p.stopped:
			return
		case <-time.After(heartbeatInterval):
			_ = p.register() // the entry can always be encoded
		}
	}
}

func (p *Replica) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve answers the requests of one connection, one at a time.
func (p *Replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late *Answer
	var lateOf *Arrival
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		arrival := &Arrival{
			At:      time.Now(),
			Replica: p.ID,
			Request: request,
			Body:    body,
			ID:      request.Header.Get("Request-Id"),
		}
		time.Sleep(p.LinkDelay)
		if late != nil {
			if p.Answered != nil {
				p.Answered(lateOf, late, true)
			}
			if _, err := conn.Write(late.bytes()); err != nil {
				return
			}
			late, lateOf = nil, nil
		}
		if p.Garbles != nil && p.Garbles(arrival) {
			sendGarbage(conn)
			return
		}
		answer := p.answer(arrival)
		if p.Answered != nil {
			p.Answered(arrival, answer, false)
		}
		time.Sleep(p.LinkDelay)
		if _, err := conn.Write(answer.bytes()); err != nil {
			return
		}
		if p.LateExtra != nil && p.LateExtra(answer) {
			late, lateOf = answer, arrival
		}
	}
}

const (
	garbageChunk = 1 << 20
	// garbageRate is that of a machine's link, 1,000 Mbit/s.
	garbageRate = 125 << 20
	// maxGarbage is what a replica sends at most: two seconds of its link.
	maxGarbage = 256 << 20
)

// sendGarbage sends bytes without an end of a line, until the host closes the connection.
func sendGarbage(conn net.Conn) {
	chunk := bytes.Repeat([]byte{'x'}, garbageChunk)
	began := time.Now()
	for sent := 0; sent < maxGarbage; {
		n, err := conn.Write(chunk)
		if err != nil {
			return
		}
		sent += n
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / garbageRate * float64(time.Second)))))
	}
}

func (p *Replica) answer(arrival *Arrival) *Answer {
	header := "Request-Id: " + arrival.ID + "\r\n"
	expected := arrival.Request.Header.Get("Expect-Instance")
	if expected != "" && expected != p.ID {
		return &Answer{
			Status: http.StatusMisdirectedRequest,
			Header: header + "Instance-Id: " + p.ID + "\r\nNot-Executed: 1\r\n",
		}
	}
	if !p.take() {
		return &Answer{
			Status: http.StatusServiceUnavailable,
			Header: header + p.load() + "Not-Executed: 1\r\n",
		}
	}
	defer p.free()
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	if p.Ran != nil {
		p.Ran(arrival)
	}
	time.Sleep(p.Work)
	return &Answer{
		Status: http.StatusOK,
		Header: header + p.load() + "Content-Type: text/plain\r\nServer-Stamp: " + p.ID + "." + arrival.ID + "\r\n",
		Body:   "done " + arrival.ID + "\n",
	}
}

// take takes a place for a request, if there is one.
func (p *Replica) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken >= p.Slots+p.Queue {
		return false
	}
	p.taken++
	return true
}

func (p *Replica) free() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken--
}

func (p *Replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", min(p.taken, p.Slots), max(p.taken-p.Slots, 0), p.Slots)
}
