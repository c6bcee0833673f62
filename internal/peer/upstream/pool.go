package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// take gives an idle connection that still stands, or opens one.
func (c *Client) take(ctx context.Context, request *Request) (*connection, error) {
	for {
		conn := c.pop(request)
		if conn == nil {
			break
		}
		if conn.quiet() {
			return conn, nil
		}
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if c.Dialed != nil {
		c.Dialed()
	}
	limitSilence(opened)
	return &connection{
		Conn:    opened,
		reader:  bufio.NewReaderSize(opened, bufferSize),
		address: request.Address,
	}, nil
}

// limitSilence asks the system to end a connection whose peer no longer takes
// what is sent. Where it can't be set, the deadline of the exchange still holds.
func limitSilence(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// pop takes the idle connection that was used last.
func (c *Client) pop(request *Request) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	kept := c.idle[request.Address]
	for len(kept) > 0 {
		conn := kept[len(kept)-1]
		if request.Once && now.Sub(conn.idleSince) > freshIdle {
			return nil
		}
		kept = kept[:len(kept)-1]
		c.idle[request.Address] = kept
		if now.Before(conn.closeAt) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (c *Client) give(conn *connection, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.closed || idle <= 0 {
		_ = conn.Close()
		return
	}
	if c.idle == nil {
		c.idle = make(map[string][]*connection)
	}
	conn.idleSince = now
	conn.closeAt = now.Add(idle)
	c.idle[conn.address] = append(c.idle[conn.address], conn)
	if now.Sub(c.sweep) > time.Second {
		c.sweep = now
		c.dropOld(now)
	}
}

// dropOld closes what has been idle for too long, also to servers that are gone.
func (c *Client) dropOld(now time.Time) {
	for address, kept := range c.idle {
		still := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.closeAt) {
				still = append(still, conn)
				continue
			}
			_ = conn.Close()
		}
		clear(kept[len(still):])
		if c.idle[address] = still; len(still) == 0 {
			delete(c.idle, address)
		}
	}
}

// Close closes all idle connections, and those that are given back later.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, kept := range c.idle {
		for _, conn := range kept {
			_ = conn.Close()
		}
	}
	c.idle = nil
}

// quiet tells that nothing has come on an idle connection: neither its end, nor
// bytes that belong to no request (a late second answer would be taken for the
// next one's).
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
