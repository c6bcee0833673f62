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

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/wire/engineapi"
)

const (
	// eventLimit bounds one event of a stream, wholeLimit an answer that is none.
	eventLimit = 256 << 10
	wholeLimit = 8 << 20
	// tailLimit and tailTimeout bound what Close reads after a whole stream, so
	// that its connection can be used again.
	tailLimit   = 4 << 10
	tailTimeout = 200 * time.Millisecond
)

// The ways in which an answer that began can fail. After each the request may
// have run.
var (
	// ErrCutStream tells that the answer ended before its end mark. What came
	// before it holds, so the stream can be resumed.
	ErrCutStream = errors.New("answer cut before its end")
	// ErrBrokenStream tells that the answer is not of the agreed form.
	ErrBrokenStream = errors.New("answer malformed")
)

// Event is one part of an answer: Chunk, Whole or End.
type Event interface {
	event()
}

// Chunk is one chunk of a stream, to be passed on as it is.
type Chunk struct {
	Raw []byte
	// Tokens counts the tokens of the answer up to and with this chunk, those
	// before ResumeAt among them. Engines send one token a chunk.
	Tokens int
	// First marks the first token of this stream, Last the chunk that says why
	// the answer ends.
	First bool
	Last  bool
}

// Whole is an answer in one piece.
type Whole struct {
	Raw    []byte
	Tokens unit.Tokens
}

// End tells that the answer came whole.
type End struct{}

func (Chunk) event() {}
func (Whole) event() {}
func (End) event()   {}

// Stream is an answer as it comes. Next is for one goroutine; Close may come
// from any, also while Next waits.
type Stream struct {
	ctx         context.Context
	cancel      context.CancelFunc
	response    *http.Response
	incarnation ident.Incarnation
	streamed    bool

	mu       sync.Mutex // held while Next or Close use what follows
	pull     func() (sse.Event, error, bool)
	stop     func()
	tokens   int
	started  bool
	answered bool
	done     error
}

func newStream(ctx context.Context, cancel context.CancelFunc, response *http.Response, call *Call) *Stream {
	stream := &Stream{
		ctx:         ctx,
		cancel:      cancel,
		response:    response,
		incarnation: ident.Incarnation(response.Header.Get(engineapi.HeaderIncarnation)),
		streamed:    call.Stream,
		tokens:      call.ResumeAt,
	}
	events := sse.Read(response.Body, &sse.ReadConfig{
		MaxEventSize: eventLimit,
	})
	stream.pull, stream.stop = iter.Pull2(iter.Seq2[sse.Event, error](events))
	return stream
}

// Incarnation is the life of the engine that answers.
func (s *Stream) Incarnation() ident.Incarnation {
	return s.incarnation
}

// Next waits for the next event. After End it returns io.EOF; after an error,
// which is ErrCutStream, ErrBrokenStream or the context's, that error again.
func (s *Stream) Next() (Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done != nil {
		return nil, s.done
	}
	event, err := s.next()
	if err != nil {
		s.done = err
		return nil, err
	}
	if _, end := event.(End); end {
		s.done = io.EOF
	}
	return event, nil
}

func (s *Stream) next() (Event, error) {
	if !s.streamed {
		return s.nextWhole()
	}
	if !s.started {
		s.started = true
		if kind := s.response.Header.Get("Content-Type"); !strings.HasPrefix(kind, engineapi.ContentTypeStream) {
			return nil, errors.Wrapf(ErrBrokenStream, "content type %q", kind)
		}
	}
	event, err, more := s.pull()
	if err != nil {
		return nil, s.fault(err)
	}
	if !more {
		// The guard against an answer that ends early without any error: a server
		// that stops in order closes the connection just so. Only the end mark,
		// which the engine writes after the last token, makes a stream whole.
		return nil, errors.Wrap(ErrCutStream, "no end mark")
	}
	if event.Data == engineapi.StreamEnd {
		return End{}, nil
	}
	return s.chunk([]byte(event.Data))
}

func (s *Stream) chunk(raw []byte) (Event, error) {
	parsed, err := engineapi.ParseChunk(raw)
	if err != nil {
		return nil, errors.Wrap(ErrBrokenStream, err.Error())
	}
	chunk := Chunk{
		Raw:  raw,
		Last: parsed.Finished,
	}
	if parsed.Text != "" {
		chunk.First = !s.answered
		s.answered = true
		s.tokens++
	}
	chunk.Tokens = s.tokens
	return chunk, nil
}

func (s *Stream) nextWhole() (Event, error) {
	if s.answered {
		return End{}, nil
	}
	body, err := httpsend.ReadBody(s.response.Body, wholeLimit)
	if err != nil {
		return nil, s.fault(err)
	}
	_, usage, err := engineapi.ParseWhole(body)
	if err != nil {
		return nil, errors.Wrap(ErrBrokenStream, err.Error())
	}
	s.answered = true
	return Whole{
		Raw:    body,
		Tokens: unit.Tokens(usage.Completion),
	}, nil
}

// fault sorts an error of reading: our own cancel, an answer over its bound,
// or a cut.
func (s *Stream) fault(err error) error {
	if s.ctx.Err() != nil {
		return errors.Wrap(context.Cause(s.ctx), "answer given up")
	}
	if errors.Is(err, bufio.ErrTooLong) || errors.Is(err, httpsend.ErrTooLarge) {
		return errors.Wrap(ErrBrokenStream, err.Error())
	}
	return errors.Wrap(ErrCutStream, err.Error())
}

// Close ends the answer. Before End it cancels the request at the engine, by
// closing the connection.
func (s *Stream) Close() {
	if !s.mu.TryLock() {
		// Next is waiting for the engine: only the cancel wakes it.
		s.cancel()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if errors.Is(s.done, io.EOF) {
		s.readTail()
	}
	s.cancel()
	_ = s.response.Body.Close()
	s.stop()
	if s.done == nil {
		s.done = errors.Wrap(context.Canceled, "answer given up")
	}
}

// readTail reads the few bytes after the end mark that close the HTTP body.
// Without them the transport drops the connection, and each request would pay
// for a new one.
func (s *Stream) readTail() {
	timer := time.AfterFunc(tailTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.response.Body, tailLimit)
}
