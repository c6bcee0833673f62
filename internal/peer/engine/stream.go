package engine

import (
	"bufio"
	"context"
	"io"
	"iter"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/wire/engineapi"
)

const (
	// maxEventBytes limits one event of a stream, maxWholeBytes an answer that is not
	// streamed.
	maxEventBytes = 256 << 10
	maxWholeBytes = 8 << 20
	// maxTailBytes and tailTimeout limit what Close reads after the end of a stream to
	// make its connection reusable.
	maxTailBytes = 4 << 10
	tailTimeout  = 200 * time.Millisecond
)

// Failures of an answer that has started. After each of them the request may have
// run.
var (
	// ErrTruncatedStream says that the answer ended without its end marker. The part
	// that arrived is valid, so the stream can be resumed.
	ErrTruncatedStream = errors.New("answer cut before its end")
	// ErrMalformedStream says that the answer does not follow the protocol.
	ErrMalformedStream = errors.New("answer malformed")
)

// Event is one part of an answer: Chunk, Whole or End.
type Event interface {
	event()
}

// Chunk is one chunk of a streamed answer, to be forwarded unchanged.
type Chunk struct {
	Raw []byte
	// Tokens counts the tokens of the answer up to and including this chunk, and those
	// before ResumeAt. Engines send one token per chunk.
	Tokens int
	// IsFirstToken marks the first token of this stream, IsLast the chunk with the
	// reason why the answer ends.
	IsFirstToken bool
	IsLast       bool
}

// Whole is an answer that is not streamed.
type Whole struct {
	Raw    []byte
	Tokens unit.Tokens
}

// End says that the answer is complete.
type End struct{}

func (Chunk) event() {}
func (Whole) event() {}
func (End) event()   {}

// Stream reads one answer. Next must be called by one goroutine at a time; Close may be
// called by any goroutine, also while Next waits.
type Stream struct {
	ctx         context.Context
	cancel      context.CancelFunc
	http        *httpsend.Client
	address     string
	response    *http.Response
	incarnation ident.Incarnation
	signals     backend.Signals
	isStreamed  bool

	mu                 sync.Mutex // guards the fields below
	pull               func() (sse.Event, error, bool)
	stop               func()
	tokens             int
	contentTypeChecked bool
	contentReceived    bool
	finalErr           error
}

func (c *Client) newStream(ctx context.Context, cancel context.CancelFunc, address string, response *http.Response, call *Call) *Stream {
	stream := &Stream{
		ctx:         ctx,
		cancel:      cancel,
		http:        &c.http,
		address:     address,
		response:    response,
		incarnation: ident.Incarnation(response.Header.Get(engineapi.HeaderIncarnation)),
		signals:     engineapi.ParseSignals(response.Header),
		isStreamed:  call.Stream,
		tokens:      call.ResumeAt,
	}
	events := sse.Read(response.Body, &sse.ReadConfig{
		MaxEventSize: maxEventBytes,
	})
	stream.pull, stream.stop = iter.Pull2(iter.Seq2[sse.Event, error](events))
	return stream
}

// Incarnation returns the incarnation of the engine that answers.
func (s *Stream) Incarnation() ident.Incarnation {
	return s.incarnation
}

// Signals returns what the answer says about the requests that the engine accepts.
func (s *Stream) Signals() backend.Signals {
	return s.signals
}

// Next waits for the next event. After End it returns io.EOF. An error wraps
// ErrTruncatedStream, ErrMalformedStream or the cause of the cancelled context; every
// later call returns the same error.
func (s *Stream) Next() (Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalErr != nil {
		return nil, s.finalErr
	}
	event, err := s.next()
	if err != nil {
		s.finalErr = err
		return nil, err
	}
	if _, isEnd := event.(End); isEnd {
		s.finalErr = io.EOF
	}
	return event, nil
}

func (s *Stream) next() (Event, error) {
	if !s.isStreamed {
		return s.nextWhole()
	}
	if !s.contentTypeChecked {
		s.contentTypeChecked = true
		if contentType := s.response.Header.Get("Content-Type"); !strings.HasPrefix(contentType, engineapi.ContentTypeStream) {
			return nil, errors.Wrapf(ErrMalformedStream, "content type %q", contentType)
		}
	}
	event, err, more := s.pull()
	if err != nil {
		return nil, s.classifyReadError(err)
	}
	if !more {
		// Guards against an answer that ends early without an error: a server that
		// shuts down closes its connections in the same way. Only the end marker,
		// which the engine writes after the last token, makes a stream complete.
		return nil, errors.Wrap(ErrTruncatedStream, "no end mark")
	}
	if event.Data == engineapi.StreamEnd {
		return End{}, nil
	}
	return s.newChunk([]byte(event.Data))
}

func (s *Stream) newChunk(raw []byte) (Event, error) {
	parsed, err := engineapi.ParseChunk(raw)
	if err != nil {
		return nil, errors.Wrap(ErrMalformedStream, err.Error())
	}
	chunk := Chunk{
		Raw:    raw,
		IsLast: parsed.Finished,
	}
	if parsed.Text != "" {
		chunk.IsFirstToken = !s.contentReceived
		s.contentReceived = true
		s.tokens++
	}
	chunk.Tokens = s.tokens
	return chunk, nil
}

func (s *Stream) nextWhole() (Event, error) {
	if s.contentReceived {
		return End{}, nil
	}
	body, err := s.http.ReadBody(s.address, s.response, maxWholeBytes)
	if err != nil {
		return nil, s.classifyReadError(err)
	}
	_, usage, err := engineapi.ParseWhole(body)
	if err != nil {
		return nil, errors.Wrap(ErrMalformedStream, err.Error())
	}
	s.contentReceived = true
	return Whole{
		Raw:    body,
		Tokens: unit.Tokens(usage.Completion),
	}, nil
}

// classifyReadError wraps a read error by its cause: the cancelled context, an answer
// over its size limit, or a lost connection.
func (s *Stream) classifyReadError(err error) error {
	if s.ctx.Err() != nil {
		return errors.Wrap(context.Cause(s.ctx), "answer given up")
	}
	if errors.Is(err, bufio.ErrTooLong) || errors.Is(err, httpsend.ErrTooLarge) || errors.Is(err, httpsend.ErrNoRoom) {
		return errors.Wrap(ErrMalformedStream, err.Error())
	}
	return errors.Wrap(ErrTruncatedStream, err.Error())
}

// Close releases the answer. Before End it cancels the request at the engine by closing
// the connection.
func (s *Stream) Close() {
	if !s.mu.TryLock() {
		// Next waits for the engine; only the cancellation wakes it.
		s.cancel()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if errors.Is(s.finalErr, io.EOF) {
		s.readTail()
	}
	s.cancel()
	_ = s.response.Body.Close()
	s.stop()
	if s.finalErr == nil {
		s.finalErr = errors.Wrap(context.Canceled, "answer given up")
	}
}

// readTail reads the last bytes of the HTTP body after the end marker. Without them the
// transport closes the connection, and each request would pay for a new one.
func (s *Stream) readTail() {
	timer := time.AfterFunc(tailTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.response.Body, maxTailBytes)
}
