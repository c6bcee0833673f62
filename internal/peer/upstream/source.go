package upstream

import (
	"net"

	"cicadaloom/internal/peer/httpanswer"
)

// source reads from a connection, up to a limit while the head of an answer is read.
type source struct {
	conn      net.Conn
	isLimited bool
	remaining int
	// head is the head of the answer that is being read.
	head httpanswer.Head
}

// beginHead bounds what is read from now on.
func (s *source) beginHead(limit int) {
	s.isLimited = true
	s.remaining = limit
	s.head = httpanswer.Head{}
}

// endHead removes the bound, and returns the head that was read.
func (s *source) endHead() httpanswer.Head {
	head := s.head
	s.isLimited = false
	s.head = httpanswer.Head{}
	return head
}

// Read implements io.Reader. The error is ErrHeadTooLong beyond the limit.
func (s *source) Read(buffer []byte) (int, error) {
	if !s.isLimited {
		return s.conn.Read(buffer)
	}
	if s.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := s.conn.Read(buffer[:min(len(buffer), s.remaining)])
	s.remaining -= n
	s.head.Add(buffer[:n])
	return n, err
}
