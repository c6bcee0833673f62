package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	tomb "gopkg.in/tomb.v2"
)

// startServer runs a server that handles each connection by the given script, and returns
// its address.
func startServer(t *testing.T, serve func(number int, conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var accepting tomb.Tomb
	accepting.Go(func() error {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			accepting.Go(func() error {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		accepting.Kill(nil)
	})
	return listener.Addr().String()
}

func readRequest(reader *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

func request(address, target string) Request {
	return Request{
		Address:  address,
		Deadline: time.Now().Add(5 * time.Second),
		Method:   http.MethodPost,
		Target:   target,
		Host:     "notes.example",
		Header:   http.Header{"Request-Id": {target}},
		Body:     []byte("hello"),
	}
}

func fetch(t *testing.T, client *Client, r Request) (string, error) {
	exchange, err := client.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange.Response.Body)
	if err != nil {
		return "", err
	}
	exchange.Release()
	return string(body), nil
}

func TestRequestArrivesUnchanged(t *testing.T) {
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		line, _ := reader.ReadString('\n')
		var rest strings.Builder
		for {
			header, err := reader.ReadString('\n')
			if err != nil || header == "\r\n" {
				break
			}
			rest.WriteString(header)
		}
		answer := line + rest.String()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+itoa(len(answer))+"\r\n\r\n"+answer)
	})
	client := &Client{}
	defer client.Close()
	r := request(address, "/a//b/../c?x=%2F")
	r.Header.Set("Connection", "close")
	r.Header.Set("Transfer-Encoding", "chunked")
	got, err := fetch(t, client, r)
	require.NoError(t, err)
	require.Contains(t, got, "POST /a//b/../c?x=%2F HTTP/1.1\r\n")
	require.Contains(t, got, "Host: notes.example\r\n")
	require.Contains(t, got, "Content-Length: 5\r\n")
	require.NotContains(t, got, "chunked")
	require.NotContains(t, got, "Connection")
}

func itoa(n int) string {
	return string(rune('0'+n/100%10)) + string(rune('0'+n/10%10)) + string(rune('0'+n%10))
}

// A server sends a second response after a whole one. The next request on the same
// connection would take it for its own, so the connection must be closed, whether the bytes
// arrive before it is released or while it is idle.
func TestExtraResponseClosesConnection(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nXX"
	for _, together := range []bool{true, false} {
		idle, sent := make(chan struct{}), make(chan struct{})
		address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			for {
				r, _, err := readRequest(reader)
				if err != nil {
					return
				}
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + r.URL.Path[1:3]
				if together {
					_, _ = io.WriteString(conn, answer+extra)
					continue
				}
				_, _ = io.WriteString(conn, answer)
				<-idle
				_, _ = io.WriteString(conn, extra)
				sent <- struct{}{}
			}
		})
		client := &Client{}
		for _, target := range []string{"/aa", "/bb", "/cc"} {
			got, err := fetch(t, client, request(address, target))
			require.NoError(t, err)
			require.Equal(t, target[1:], got)
			if !together {
				idle <- struct{}{}
				<-sent
			}
		}
		client.Close()
	}
}

// A server closes a connection while it is idle. The next request must not be written to
// it: it would count as one that may have run.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+itoa(number)[2:])
		}
	})
	client := &Client{}
	defer client.Close()
	for _, want := range []string{"0", "1", "2"} {
		got, err := fetch(t, client, request(address, "/x"))
		require.NoError(t, err)
		require.Equal(t, want, got)
		time.Sleep(20 * time.Millisecond)
	}
}

// A server refuses a long request before it has read the body, keeps the connection and
// reads on. What it reads there must be the rest of that body, and no other request.
func TestEarlyResponseDoesNotMixBodies(t *testing.T) {
	bodies := make(chan string, 2)
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.ContentLength > 1000 {
				_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
				time.Sleep(30 * time.Millisecond)
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			bodies <- string(body)
			if r.ContentLength <= 1000 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	client := &Client{}
	defer client.Close()
	long := request(address, "/long")
	long.Body = []byte(strings.Repeat("z", 8<<20))
	got, err := fetch(t, client, long)
	require.NoError(t, err)
	require.Equal(t, "no", got)
	got, err = fetch(t, client, request(address, "/short"))
	require.NoError(t, err)
	require.Equal(t, "ok", got)
	require.Equal(t, "hello", <-bodies)
}

// An address without a server, a response that is cut, a client that leaves: each failure
// must tell whether anything may have arrived.
func TestErrorsReportWhatMayHaveArrived(t *testing.T) {
	client := &Client{}
	defer client.Close()
	_, err := client.Send(context.Background(), request("127.0.0.1:1", "/x"))
	require.Error(t, err)
	require.False(t, MayHaveArrived(err))
	require.True(t, IsUnreached(err))

	cut := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	})
	_, err = fetch(t, client, request(cut, "/x"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)

	mute := startServer(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = reader.ReadByte()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Send(ctx, request(mute, "/x"))
	require.Error(t, err)
	require.True(t, MayHaveArrived(err))
}

// A request that must not be repeated uses a connection that is new or was used just now:
// the server may close a connection that has been idle at any moment.
func TestNeedsFreshAvoidsIdleConnections(t *testing.T) {
	address := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=15\r\n\r\n"+itoa(number)[2:])
		}
	})
	client := &Client{}
	defer client.Close()
	once := request(address, "/x")
	once.NeedsFresh = true
	got, err := fetch(t, client, once)
	require.NoError(t, err)
	require.Equal(t, "0", got)
	got, err = fetch(t, client, once)
	require.NoError(t, err)
	require.Equal(t, "0", got, "in use just now")
	client.mu.Lock()
	client.idle[address][0].idleSince = time.Now().Add(-2 * maxFreshIdle)
	client.mu.Unlock()
	got, err = fetch(t, client, once)
	require.NoError(t, err)
	require.Equal(t, "1", got)
}

// Guards against a connection that the kernel ends, by its user timeout, because one keep-alive
// probe was lost while a sound server was silent for a moment.
func TestConnectionsToServersSendNoKeepAliveProbes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := Dial(context.Background(), listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		value, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		require.NoError(t, err)
		require.Zero(t, value)
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.Equal(t, int(userTimeout.Milliseconds()), value)
	}))
}

// Guards against a refusal that a server sends twice, the second time late: the copy would be taken
// for the answer to the next send of the same request, which runs.
func TestRefusedRequestIsNotSentOverTheSameConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno"
	address := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for count := 0; ; count++ {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			switch {
			case number == 0 && count == 0:
				_, _ = io.WriteString(conn, refusal)
			case number == 0 && count == 1:
				_, _ = io.WriteString(conn, refusal+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			default:
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	client := &Client{}
	defer client.Close()
	once := request(address, "/x")
	once.ID = "r1"
	once.NeedsFresh = true
	require.Equal(t, http.StatusServiceUnavailable, sendRefused(t, client, once))
	require.Len(t, client.idle[address], 1)
	got, err := fetch(t, client, once)
	require.NoError(t, err)
	require.Equal(t, "ok", got)
	require.Len(t, client.idle[address], 2, "kept for other requests")
}

// sendRefused sends a request that the server refuses, and keeps the connection.
func sendRefused(t *testing.T, client *Client, r Request) int {
	exchange, err := client.Send(context.Background(), r)
	require.NoError(t, err)
	defer exchange.Close()
	_, err = io.ReadAll(exchange.Response.Body)
	require.NoError(t, err)
	exchange.ReleaseUnfinished()
	return exchange.Response.StatusCode
}

// Guards against a list of refused requests that grows as long as a connection lasts.
func TestConnectionOfManyRefusalsIsClosed(t *testing.T) {
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := &Client{}
	defer client.Close()
	for number := range maxUnfinished {
		r := request(address, "/x")
		r.ID = strconv.Itoa(number)
		sendRefused(t, client, r)
		require.Len(t, client.idle[address], 1)
	}
	r := request(address, "/x")
	r.ID = "last"
	sendRefused(t, client, r)
	require.Empty(t, client.idle[address])
}

// silence makes the kernel drop what arrives on a connection without acknowledging it.
func silence(t *testing.T, conn net.Conn) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		require.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: 1,
			Filter: &unix.SockFilter{
				Code: unix.BPF_RET | unix.BPF_K,
			},
		}))
	}))
}

// Guards against requests that are sent one after the other over kept connections to a server
// that have all gone silent without a reset.
func TestSilentConnectionEndsWithOthersToItsServer(t *testing.T) {
	const kept = 3
	var silent tomb.Tomb
	var silenced sync.WaitGroup
	silenced.Add(kept)
	address := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for range 2 {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=15\r\n\r\n"+itoa(number)[2:])
			if number < kept {
				<-silent.Dying()
				silence(t, conn)
				silenced.Done()
			}
		}
	})
	client := &Client{}
	defer client.Close()
	exchanges := make([]*Exchange, kept)
	for i := range exchanges {
		exchange, err := client.Send(context.Background(), request(address, "/x"))
		require.NoError(t, err)
		exchanges[i] = exchange
	}
	for _, exchange := range exchanges {
		_, err := io.ReadAll(exchange.Response.Body)
		require.NoError(t, err)
		exchange.Release()
	}
	silent.Kill(nil)
	silenced.Wait()
	_, err := fetch(t, client, request(address, "/x"))
	require.ErrorIs(t, err, syscall.ETIMEDOUT)
	got, err := fetch(t, client, request(address, "/x"))
	require.NoError(t, err)
	require.Equal(t, itoa(kept)[2:], got, "a new connection")
}
