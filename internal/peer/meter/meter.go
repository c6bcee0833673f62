// Package meter counts the bytes that connections carry, without the headers of TCP and
// IP. The clients and servers of the peer packages use it for metrics of the control
// traffic.
//
// A Meter wraps connections, which add what they read and write to two counters. It is
// safe for concurrent use; a nil Meter counts nothing.
//
// # Usage
//
//	counted := meter.Meter{
//		In:  set.NewCounter(`cicadaloom_control_bytes_total{direction="in"}`),
//		Out: set.NewCounter(`cicadaloom_control_bytes_total{direction="out"}`),
//	}
//	connection, err := counted.Dial(ctx, "tcp", address)
//	listener = counted.Listener(listener)
package meter

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const dialTimeout = 2 * time.Second

// Meter adds the bytes read to In and the bytes written to Out.
type Meter struct {
	In  *metrics.Counter
	Out *metrics.Counter
}

// Dial connects to an address and counts the bytes of the connection.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return m.Wrap(connection), nil
}

// Listener wraps a listener to count the bytes of the connections that it accepts.
func (m *Meter) Listener(listener net.Listener) net.Listener {
	if m == nil {
		return listener
	}
	return &countedListener{
		Listener: listener,
		meter:    m,
	}
}

// Wrap counts the bytes of a connection.
func (m *Meter) Wrap(connection net.Conn) net.Conn {
	if m == nil {
		return connection
	}
	return &countedConn{
		Conn:  connection,
		meter: m,
	}
}

type countedListener struct {
	net.Listener
	meter *Meter
}

func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Wrap(connection), nil
}

type countedConn struct {
	net.Conn
	meter *Meter
}

func (c *countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.meter.In.Add(n)
	return n, err
}

func (c *countedConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.meter.Out.Add(n)
	return n, err
}
