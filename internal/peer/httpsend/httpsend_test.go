package httpsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"cicadaloom/internal/control/heldbytes"
)

// closingServer answers the first request of a connection and closes the connection
// after it has read the second, like a server whose idle timeout ends at that moment.
type closingServer struct {
	tomb     tomb.Tomb
	listener net.Listener
	requests atomic.Int32
}

func newClosingServer(t *testing.T) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &closingServer{
		listener: listener,
	}
	m.tomb.Go(m.accept)
	t.Cleanup(func() {
		listener.Close()
		m.tomb.Wait()
	})
	return m
}

func (m *closingServer) accept() error {
	for {
		connection, err := m.listener.Accept()
		if err != nil {
			return nil
		}
		m.tomb.Go(func() error {
			defer connection.Close()
			reader := bufio.NewReader(connection)
			for range 2 {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return nil
				}
				io.Copy(io.Discard, request.Body)
				if m.requests.Add(1) != 2 {
					io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				} else {
					return nil
				}
			}
			return nil
		})
	}
}

func (m *closingServer) send(t *testing.T, client *Client, method, body string, once bool) (Reply, error) {
	reply, err := client.Send(Request{
		Context: context.Background(),
		Method:  method,
		Address: m.listener.Addr().String(),
		Path:    "/dispatch",
		Header: http.Header{
			"Idempotency-Key": []string{"key-1"},
		},
		Body: []byte(body),
		Once: once,
	})
	if err == nil {
		io.Copy(io.Discard, reply.Response.Body)
		reply.Response.Body.Close()
	}
	return reply, err
}

// A request goes out over a reused connection; the service runs it and crashes before
// it answers. http.Transport takes a request with an Idempotency-Key for one that may
// be repeated and would send it again over a new connection, so that it runs twice.
func TestTransportNeverSendsTwice(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		body   string
		once   bool
	}{
		{"with body", http.MethodPost, "boat 4", false},
		{"without body", http.MethodDelete, "", false},
		{"once", http.MethodPost, "boat 4", true},
		{"once, safe method", http.MethodGet, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var client Client
			defer client.Close()
			server := newClosingServer(t)
			_, err := server.send(t, &client, c.method, c.body, c.once)
			require.NoError(t, err)
			reply, err := server.send(t, &client, c.method, c.body, c.once)
			require.Error(t, err)
			require.True(t, reply.Sent)
			require.EqualValues(t, 2, server.requests.Load())
		})
	}
}

// A host loses a connection after the request was run. If Sent were false then, the
// caller would be told "not run". Only a connection that was never established proves
// it.
func TestSentIsFalseOnlyWithoutConnection(t *testing.T) {
	var client Client
	defer client.Close()
	send := func(ctx context.Context, address string) (Reply, error) {
		return client.Send(Request{
			Context: ctx,
			Method:  http.MethodPost,
			Address: address,
			Path:    "/",
			Body:    []byte("x"),
		})
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	reply, err := send(context.Background(), closed.Addr().String())
	require.Error(t, err)
	require.False(t, reply.Sent, "connection refused")

	arrived := make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer hanging.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var canceller tomb.Tomb
	canceller.Go(func() error {
		<-arrived
		cancel()
		return nil
	})
	reply, err = send(ctx, hanging.Listener.Addr().String())
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, reply.Sent, "cancelled after it arrived")
	require.NoError(t, canceller.Wait())

	reply, err = send(ctx, hanging.Listener.Addr().String())
	require.ErrorIs(t, err, context.Canceled)
	require.False(t, reply.Sent, "cancelled before any connection")
}

// A service redirects a request that it has run. If the client followed, the request
// would run at two services.
func TestRedirectsAreNotFollowed(t *testing.T) {
	var client Client
	defer client.Close()
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	status, _, err := client.Fetch(Request{
		Context: context.Background(),
		Method:  http.MethodPost,
		Address: server.Listener.Addr().String(),
		Path:    "/",
		Body:    []byte("x"),
	}, 1000)
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, status)
	require.EqualValues(t, 1, runs.Load())
}

func TestReadBodyLimitsSize(t *testing.T) {
	body, err := ReadBody(strings.NewReader("12345"), 5)
	require.NoError(t, err)
	require.Equal(t, "12345", string(body))
	_, err = ReadBody(strings.NewReader("123456"), 5)
	require.ErrorIs(t, err, ErrTooLarge)
}

// A proxy adds "not run" to an error page of its own. If that counted as proof, the
// request would be sent a second time. Only the statuses by which servers refuse carry
// the proof.
func TestNotRunProofCountsOnRefusalStatusesOnly(t *testing.T) {
	for status, proves := range map[int]bool{200: false, 404: true, 429: true, 500: false, 502: false, 503: true} {
		recorder := httptest.NewRecorder()
		recorder.Header().Set("X-Not-Run", "true")
		recorder.WriteHeader(status)
		require.Equal(t, proves, HasNotRunProof(recorder.Result()), status)
	}
}

// Guards against a part of an early answer without a length, whose connection was reset during the
// upload, that is taken for the whole.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		var server tomb.Tomb
		server.Go(func() error {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			_, _ = io.CopyN(io.Discard, conn, 1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return conn.Close()
		})
		var client Client
		_, body, err := client.Fetch(Request{
			Context: context.Background(),
			Method:  http.MethodPost,
			Address: listener.Addr().String(),
			Path:    "/dispatch",
			Body:    make([]byte, 12<<20),
		}, 1<<20)
		require.Error(t, err, "%q", body)
		client.Close()
		require.NoError(t, server.Wait())
		require.NoError(t, listener.Close())
	}
}

// sendRaw sends a request to a server that answers with raw bytes and ends the connection.
func sendRaw(t *testing.T, answer string) (Reply, []byte, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var server tomb.Tomb
	server.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		_, err = io.WriteString(conn, answer)
		return err
	})
	var client Client
	defer client.Close()
	defer func() {
		require.NoError(t, server.Wait())
		require.NoError(t, listener.Close())
	}()
	reply, err := client.Send(Request{
		Context: context.Background(),
		Method:  http.MethodPost,
		Address: listener.Addr().String(),
		Path:    "/dispatch",
	})
	if err != nil {
		return reply, nil, err
	}
	defer reply.Response.Body.Close()
	body, err := ReadBody(reply.Response.Body, 1<<10)
	return reply, body, err
}

// Guards against a head with a name that is no token whose status or proof counts, or whose framing
// is not applied.
func TestAnswerWithInvalidNameIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"blank inside":       "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok",
		"blank before colon": "HTTP/1.1 200 OK\r\nBad-Name : x\r\nContent-Length: 2\r\n\r\nok",
		"control byte":       "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\nContent-Length: 2\r\n\r\nok",
		"chunked":            "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"refusal":            "HTTP/1.1 503 Full\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			reply, _, err := sendRaw(t, answer)
			require.Error(t, err)
			require.Nil(t, reply.Response)
			require.True(t, reply.Sent)
		})
	}
}

// Guards against an answer with an invalid name in its trailer that is taken for whole.
func TestAnswerWithInvalidTrailerIsNotComplete(t *testing.T) {
	_, body, err := sendRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n")
	require.Error(t, err, "%q", body)
}

// Guards against an answer whose status or version does not exist that is taken for one.
func TestAnswerWithImpossibleStatusIsAnError(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000", "HTTP/1.1 099 Error", "HTTP/1.1 101 Switching", "HTTP/1.1 600 Error", "HTTP/1.1 999", "HTTP/2.0 200 OK"} {
		t.Run(line, func(t *testing.T) {
			reply, _, err := sendRaw(t, line+"\r\nContent-Length: 2\r\n\r\nno")
			require.Error(t, err)
			require.Nil(t, reply.Response)
			require.True(t, reply.Sent)
		})
	}
}

// Guards against chunks in an answer of HTTP/1.0, which has none, that are taken for the body.
func TestChunksOfOldVersionAreAnError(t *testing.T) {
	reply, body, err := sendRaw(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	require.Error(t, err, "%q", body)
	require.True(t, reply.Sent)
}

// Guards against a sound answer that is lost.
func TestSoundAnswerIsRead(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: x\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nok",
	} {
		_, body, err := sendRaw(t, answer)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
	}
}

// Guards against bodies that are cut off at their limit, or longer than it, or shorter than their
// length.
func TestBodyIsReadWholeOrNotAtAll(t *testing.T) {
	const limit = 5000
	for size := range limit + 2 {
		text := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size)} {
			var hold heldbytes.Hold
			body, err := ReadHeldBody(strings.NewReader(text), length, limit, &hold)
			if size > limit {
				require.ErrorIs(t, err, ErrTooLarge)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, text, string(body))
		}
		var hold heldbytes.Hold
		_, err := ReadHeldBody(strings.NewReader(text), int64(size)+1, 2*limit, &hold)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against a body that is read though there is no room for it.
func TestBodyWithoutRoomIsNotRead(t *testing.T) {
	budget := heldbytes.New(64<<10, 64<<10)
	hold := budget.Hold()
	defer hold.Release()
	_, err := ReadHeldBody(strings.NewReader(strings.Repeat("x", 1<<20)), -1, 1<<21, &hold)
	require.ErrorIs(t, err, ErrNoRoom)
}
