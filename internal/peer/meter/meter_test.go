package meter

import (
	"context"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

func newMeter() *Meter {
	set := metrics.NewSet()
	return &Meter{
		In:  set.NewCounter("in"),
		Out: set.NewCounter("out"),
	}
}

func TestBothEndsCountBytes(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, client := newMeter(), newMeter()
	listener := server.Listener(plain)
	defer listener.Close()
	connection, err := client.Dial(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	_, err = connection.Write([]byte("hello"))
	require.NoError(t, err)
	var got [8]byte
	_, err = accepted.Read(got[:])
	require.NoError(t, err)
	require.EqualValues(t, 5, client.Out.Get())
	require.EqualValues(t, 5, server.In.Get())
	require.Zero(t, client.In.Get())
	require.Zero(t, server.Out.Get())
}
