// Package logsink writes log lines without ever blocking the caller. Write appends a
// line to a bounded buffer; one goroutine per Sink writes the buffer to the output.
// Lines that don't fit are dropped and counted. Without it, a log reader that stops
// reading would block requests. The gateway command puts it below the logger.
//
// # Usage
//
//	sink := logsink.New(os.Stdout, set.NewCounter("cicadaloom_log_lines_dropped_total"))
//	core := zapcore.NewCore(encoder, sink, level)
//	...
//	sink.Close()
package logsink

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"
)

// maxBufferedBytes bounds the buffer. It holds some seconds of the busiest day (about
// 300 bytes a line, a few hundred lines a second).
const maxBufferedBytes = 512 << 10

// Sink implements zapcore.WriteSyncer. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped *metrics.Counter
	tomb    tomb.Tomb
	// mu guards buffer. spareBuffer belongs to the goroutine: it is the buffer written
	// last, for reuse.
	mu          sync.Mutex
	buffer      []byte
	spareBuffer []byte
	wake        chan struct{}
}

// New returns a sink that writes to out, and starts its goroutine. dropped counts the
// lines that did not fit.
func New(out io.Writer, dropped *metrics.Counter) *Sink {
	s := &Sink{
		out:     out,
		dropped: dropped,
		wake:    make(chan struct{}, 1),
	}
	s.tomb.Go(s.run)
	return s
}

// Write buffers one line. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.buffer)+len(line) > maxBufferedBytes {
		s.mu.Unlock()
		s.dropped.Inc()
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: the goroutine writes lines as
// soon as it can.
func (s *Sink) Sync() error {
	return nil
}

// Close writes the buffered lines, ends the goroutine and returns its error. Lines
// written later are lost.
func (s *Sink) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Sink) run() error {
	for {
		select {
		case <-s.wake:
			if err := s.flush(); err != nil {
				return err
			}
		case <-s.tomb.Dying():
			return s.flush()
		}
	}
}

func (s *Sink) flush() error {
	lines := s.swapBuffers()
	if len(lines) == 0 {
		return nil
	}
	_, err := s.out.Write(lines)
	s.spareBuffer = lines
	return errors.Wrap(err, "log")
}

// swapBuffers returns the buffered lines, and makes the spare buffer take further ones.
func (s *Sink) swapBuffers() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.buffer
	if len(lines) > 0 {
		s.buffer = s.spareBuffer[:0]
	}
	return lines
}
