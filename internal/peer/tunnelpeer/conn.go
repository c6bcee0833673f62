package tunnelpeer

import (
	"bytes"
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/wire/tunnelpb"
)

// Conn is a connection to a backend server through a peer. Like those of package net, it may
// be read and written at the same time, each by one goroutine.
type Conn struct {
	stream clientStream
	cancel context.CancelFunc
	peer   string
	// unread are bytes of the last frame that Read has not returned yet.
	unread []byte

	mu        sync.Mutex
	timer     *time.Timer
	isOverdue atomic.Bool
}

func newConn(stream clientStream, cancel context.CancelFunc, peer string) *Conn {
	return &Conn{
		stream: stream,
		cancel: cancel,
		peer:   peer,
	}
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	for len(c.unread) == 0 {
		frame, err := c.stream.Recv()
		switch {
		case c.isOverdue.Load():
			return 0, os.ErrDeadlineExceeded
		case err != nil:
			return 0, err
		}
		c.unread = frame.GetData()
	}
	n := copy(buffer, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(data, frameBytes) {
		if err := c.stream.Send(&tunnelpb.Frame{
			Data: bytes.Clone(part),
		}); err != nil {
			return written, errors.New("the tunnel has ended")
		}
		written += len(part)
	}
	return written, nil
}

// Close implements net.Conn. The peer closes its connection to the server.
func (c *Conn) Close() error {
	c.setTimer(nil)
	c.cancel()
	return nil
}

// SetDeadline implements net.Conn: the connection ends at the deadline, for good.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.setTimer(nil)
		return nil
	}
	c.setTimer(time.AfterFunc(time.Until(deadline), func() {
		c.isOverdue.Store(true)
		c.cancel()
	}))
	return nil
}

func (c *Conn) setTimer(timer *time.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = timer
}

// SetReadDeadline implements net.Conn; see SetDeadline.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	return c.SetDeadline(deadline)
}

// SetWriteDeadline implements net.Conn; see SetDeadline.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	return c.SetDeadline(deadline)
}

// LocalAddr implements net.Conn: the address of the peer.
func (c *Conn) LocalAddr() net.Addr {
	return address(c.peer)
}

// RemoteAddr implements net.Conn: the address of the peer.
func (c *Conn) RemoteAddr() net.Addr {
	return address(c.peer)
}

// address is the address of a peer.
type address string

// Network implements net.Addr.
func (a address) Network() string {
	return "tunnel"
}

// String implements net.Addr.
func (a address) String() string {
	return string(a)
}
