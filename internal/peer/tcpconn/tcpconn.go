// Package tcpconn makes the error of a TCP connection known to its reader.
//
// The kernel returns a connection's error, such as a reset, to one call only. If that call is a
// Write, the next Read returns io.EOF, as if the peer had closed the connection: what has been
// read so far looks complete. A Conn returns the error of the Write instead.
//
// Connections on which an answer may arrive while its request is still being written need this:
// the end of an HTTP/1 answer without a length is the end of its connection (RFC 9112, 6.3).
//
// # Usage
//
//	conn, err := dialer.DialContext(ctx, "tcp", address)
//	if err != nil {
//		return nil, err
//	}
//	return tcpconn.Wrap(conn), nil
package tcpconn

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// pendingWriteTimeout is how long a Read at the end waits for a Write in progress. A Write to a
// connection that was reset fails at once; one to a peer that has closed only its own direction may
// wait for long.
const pendingWriteTimeout = 2 * time.Second

// Conn is a connection whose Read returns io.EOF only if no Write has failed before. Like those of
// package net, it may be used by many goroutines.
type Conn struct {
	net.Conn
	// writing has a value while a Write is in progress. It guards writeErr.
	writing  chan struct{}
	writeErr error
}

// Wrap returns a Conn that uses a connection.
func Wrap(conn net.Conn) *Conn {
	return &Conn{
		Conn:    conn,
		writing: make(chan struct{}, 1),
	}
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(data)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end it returns the error of the first Write that failed, if there
// is one.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		return n, c.endError()
	}
	return n, err
}

// endError returns the error of a Read at the end.
func (c *Conn) endError() error {
	timer := time.NewTimer(pendingWriteTimeout)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
	case <-timer.C:
		return io.EOF
	}
	defer func() { <-c.writing }()
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "the connection ended during a write")
	}
	return io.EOF
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return nil, errors.New("the connection has no socket")
	}
	return socket.SyscallConn()
}
