package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acquire returns an idle connection that is still open, or opens one.
func (c *Client) acquire(ctx context.Context, request *Request) (*connection, error) {
	for {
		conn := c.popIdle(request)
		if conn == nil {
			break
		}
		state := conn.idleState()
		if state == quiet {
			return conn, nil
		}
		if state == hasStrayBytes && c.OnStrayBytes != nil {
			c.OnStrayBytes()
		}
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	opened, err := request.dial(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	from := &source{
		conn: opened,
	}
	return &connection{
		Conn:     opened,
		source:   from,
		reader:   bufio.NewReaderSize(from, readBufferBytes),
		address:  request.Address,
		isDetour: request.Path.IsDetour,
	}, nil
}

func (r *Request) dial(ctx context.Context) (net.Conn, error) {
	if r.Path.Dial != nil {
		return r.Path.Dial(ctx)
	}
	return Dial(ctx, r.Address)
}

// Dial opens a TCP connection to a server ("ip:port") with userTimeout, and without keep-alive
// probes. With both the kernel would end a connection that waits for its answer after the first
// probe that is lost, though the server may only be silent for a second. Deadlines end such waits.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAlive: -1,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn.(*net.TCPConn))
	return conn, nil
}

// DropIdle closes the idle connections to a server that doesn't answer: they may look open and be
// dead.
func (c *Client) DropIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[address] {
		_ = conn.Close()
	}
	delete(c.idle, address)
}

// setUserTimeout makes the kernel end a connection whose peer no longer acknowledges sent
// bytes. If the option can't be set, the deadline of the exchange still applies.
func setUserTimeout(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// popIdle removes and returns the most recently used idle connection on which no send of the same
// request was answered, or nil.
func (c *Client) popIdle(request *Request) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if request.Path.IsDetour {
		return nil
	}
	idle := c.idle[request.Address]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if request.NeedsFresh && now.Sub(conn.idleSince) > maxFreshIdle {
			return nil
		}
		isOpen := now.Before(conn.closeAt)
		if isOpen && slices.Contains(conn.unfinished, request.ID) {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		c.idle[request.Address] = idle
		if isOpen {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (c *Client) putIdle(conn *connection, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.closed || conn.isDetour || idleTimeout <= 0 {
		_ = conn.Close()
		return
	}
	if c.idle == nil {
		c.idle = make(map[string][]*connection)
	}
	conn.idleSince = now
	conn.closeAt = now.Add(idleTimeout)
	c.idle[conn.address] = append(c.idle[conn.address], conn)
	if now.Sub(c.lastSweep) > time.Second {
		c.lastSweep = now
		c.closeExpired(now)
	}
}

// closeExpired closes connections that have been idle for too long, including those to
// servers that are gone.
func (c *Client) closeExpired(now time.Time) {
	for address, idle := range c.idle {
		remaining := idle[:0]
		for _, conn := range idle {
			if now.Before(conn.closeAt) {
				remaining = append(remaining, conn)
				continue
			}
			_ = conn.Close()
		}
		clear(idle[len(remaining):])
		if c.idle[address] = remaining; len(remaining) == 0 {
			delete(c.idle, address)
		}
	}
}

// Close closes all idle connections, and those that are released later.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, idle := range c.idle {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
	c.idle = nil
}

// idleState is what has arrived on an idle connection.
type idleState int

const (
	// ended means that the connection is closed, or that its state is not known.
	ended idleState = iota
	quiet
	// hasStrayBytes means that bytes have arrived that belong to no request: a late second answer
	// would be taken for the answer to the next request.
	hasStrayBytes
)

func (c *connection) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return hasStrayBytes
	}
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return ended
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ended
	}
	state := ended
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = quiet
		case err == nil && n > 0:
			state = hasStrayBytes
		}
	})
	if err != nil {
		return ended
	}
	return state
}
