package upstream

import "net"

// source reads from a connection, up to a limit while the head of an answer is read.
type source struct {
	conn      net.Conn
	isLimited bool
	remaining int
}

// limit bounds what is read from now on.
func (s *source) limit(n int) {
	s.isLimited = true
	s.remaining = n
}

func (s *source) unlimit() {
	s.isLimited = false
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
	return n, err
}
