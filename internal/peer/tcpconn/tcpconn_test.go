package tcpconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"
)

// longBytes exceeds what the buffers of a connection hold.
const longBytes = 12 << 20

// dial connects to a server that handles one connection.
func dial(t *testing.T, serve func(*net.TCPConn)) *Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var server tomb.Tomb
	server.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		serve(conn.(*net.TCPConn))
		return nil
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = listener.Close()
		_ = server.Wait()
	})
	return Wrap(conn)
}

// readDuringWrite reads to the end while a long write is in progress.
func readDuringWrite(conn *Conn) ([]byte, error) {
	var writer tomb.Tomb
	writer.Go(func() error {
		_, err := conn.Write(make([]byte, longBytes))
		return err
	})
	return io.ReadAll(conn)
}

// Guards against a reset that only the writer learns of.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	for range 20 {
		conn := dial(t, func(server *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, server, 1)
			_, _ = io.WriteString(server, "a part")
			time.Sleep(5 * time.Millisecond)
			_ = server.SetLinger(0)
		})
		_, err := readDuringWrite(conn)
		require.Error(t, err)
	}
}

// Guards against a sound end that looks like a failure.
func TestEndDuringWriteIsAnEnd(t *testing.T) {
	for name, serve := range map[string]func(*net.TCPConn){
		"after all was read": func(server *net.TCPConn) {
			_, _ = io.WriteString(server, "whole")
			_, _ = io.CopyN(io.Discard, server, longBytes)
		},
		"before all is read": func(server *net.TCPConn) {
			_, _ = io.WriteString(server, "whole")
			_ = server.CloseWrite()
			_, _ = io.CopyN(io.Discard, server, longBytes)
		},
	} {
		t.Run(name, func(t *testing.T) {
			read, err := readDuringWrite(dial(t, serve))
			require.NoError(t, err)
			require.Equal(t, "whole", string(read))
		})
	}
}

// Guards against a peer that closes its own direction, and then reads nothing, for which a reader waits.
func TestEndIsNotDelayedByBlockedWrite(t *testing.T) {
	finished := make(chan struct{})
	defer close(finished)
	conn := dial(t, func(server *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, server, 1)
		_, _ = io.WriteString(server, "whole")
		_ = server.CloseWrite()
		<-finished
	})
	require.NoError(t, conn.SetDeadline(time.Now().Add(4*pendingWriteTimeout)))
	read, err := readDuringWrite(conn)
	require.NoError(t, err)
	require.Equal(t, "whole", string(read))
}
