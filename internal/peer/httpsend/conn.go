package httpsend

import (
	"net"
	"sync"

	"cicadaloom/internal/peer/httpanswer"
	"cicadaloom/internal/peer/tcpconn"
)

// recordingConn is a connection that keeps the head of the answer to its last request.
type recordingConn struct {
	*tcpconn.Conn
	mu   sync.Mutex
	head httpanswer.Head
}

func newRecordingConn(conn net.Conn) *recordingConn {
	return &recordingConn{
		Conn: tcpconn.Wrap(conn),
	}
}

// beginAnswer drops the head of the answer before.
func (c *recordingConn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = httpanswer.Head{}
}

// answerHead returns the head of the answer as received so far.
func (c *recordingConn) answerHead() httpanswer.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// Read implements net.Conn.
func (c *recordingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Add(buffer[:n])
	return n, err
}
