package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// cut is how a host is cut off from all servers.
type cut int

const (
	notCut cut = iota
	// hangs: new connections are not answered, and open ones fall silent.
	hangs
	// resets: open connections are reset, and new ones refused.
	resets
	// refusesNew: open connections live on, and new ones are refused.
	refusesNew
)

// serverLinks are the links from the hosts to the servers.
type serverLinks struct {
	mu    sync.Mutex
	cuts  map[string]cut
	conns map[string][]*serverConn
}

// serverConn is a connection from a host to a server.
type serverConn struct {
	*net.TCPConn
	mu     sync.Mutex
	silent bool
}

// Read discards what arrives on a silent connection.
func (c *serverConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent || err != nil {
			return n, err
		}
	}
}

func (l *serverLinks) dialer(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		l.mu.Lock()
		state := l.cuts[host]
		l.mu.Unlock()
		switch state {
		case hangs:
			<-ctx.Done()
			return nil, ctx.Err()
		case resets, refusesNew:
			return nil, unix.ECONNREFUSED
		}
		var dialer net.Dialer
		opened, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		conn := &serverConn{
			TCPConn: opened.(*net.TCPConn),
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conns == nil {
			l.conns = make(map[string][]*serverConn)
		}
		l.conns[host] = append(l.conns[host], conn)
		return conn, nil
	}
}

// set cuts a host off from all servers, or ends that.
func (l *serverLinks) set(host string, state cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == nil {
		l.cuts = make(map[string]cut)
	}
	l.cuts[host] = state
	for _, conn := range l.conns[host] {
		switch state {
		case hangs:
			conn.mu.Lock()
			conn.silent = true
			conn.mu.Unlock()
		case resets:
			_ = conn.Close()
		}
	}
}

// startServedFleet starts hosts and two servers, and waits until all hosts serve.
func startServedFleet(t *testing.T, names ...string) *fleet {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	f.serve("old", "one")
	f.serve("old", "two")
	for _, name := range names {
		f.start(name)
	}
	for _, name := range names {
		f.eventually(func() bool { status, _ := f.request(name); return status == http.StatusOK }, name)
	}
	return f
}

// Guards against a host that fails its callers while it is cut off from all servers, although other
// hosts that it reaches are not.
func TestHostCutOffFromServersServesItsCallers(t *testing.T) {
	for name, state := range map[string]cut{"hangs": hangs, "resets": resets, "refuses new": refusesNew} {
		t.Run(name, func(t *testing.T) {
			f := startServedFleet(t, "a", "b", "c")
			f.links.set("a", state)
			f.links.set("b", state)
			cutAt := time.Now()
			for time.Since(cutAt) < contactTime {
				f.request("a")
				f.request("b")
			}
			for range 30 {
				for _, host := range []string{"a", "b"} {
					status, body := f.request(host)
					require.Equal(t, http.StatusOK, status, body)
				}
			}
		})
	}
}
