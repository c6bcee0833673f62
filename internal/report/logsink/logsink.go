// Package logsink takes log lines without ever holding up who writes them: they
// wait in a bounded buffer for a goroutine that writes them out, and what doesn't
// fit is dropped and counted.
//
// # Usage
//
//	sink := logsink.New(os.Stdout, set.NewCounter("cicadaloom_log_lines_dropped_total"))
//	core := zapcore.NewCore(encoder, sink, level)
//	...
//	sink.Close()
//
// A reader of the log that stops reading would otherwise stop requests with it.
package logsink

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"
)

// maxWaiting bounds the lines that wait, in bytes: some seconds of the busiest day
// (about 300 bytes a line, a few hundred lines a second).
const maxWaiting = 512 << 10

// Sink implements zapcore.WriteSyncer. It is safe for use by many goroutines.
type Sink struct {
	out     io.Writer
	dropped *metrics.Counter
	tomb    tomb.Tomb
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	ready   chan struct{}
}

// New gives a sink that writes to out. dropped counts the lines that did not fit.
func New(out io.Writer, dropped *metrics.Counter) *Sink {
	s := &Sink{
		out:     out,
		dropped: dropped,
		ready:   make(chan struct{}, 1),
	}
	s.tomb.Go(s.run)
	return s
}

// Write takes one line. It never fails and never waits for the reader.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.waiting)+len(line) > maxWaiting {
		s.mu.Unlock()
		s.dropped.Inc()
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written soon by themselves.
func (s *Sink) Sync() error {
	return nil
}

// Close writes out what waits and ends the sink. Lines after it are dropped.
func (s *Sink) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Sink) run() error {
	for {
		select {
		case <-s.ready:
			if err := s.flush(); err != nil {
				return err
			}
		case <-s.tomb.Dying():
			return s.flush()
		}
	}
}

func (s *Sink) flush() error {
	s.mu.Lock()
	lines := s.waiting
	s.waiting = s.spare[:0]
	s.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := s.out.Write(lines)
	s.spare = lines
	return errors.Wrap(err, "log")
}
