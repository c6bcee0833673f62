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

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"
)

// moody is a server that answers the first request of a connection and closes
// it after reading the second, as one whose idle timeout ends just then.
type moody struct {
	tomb     tomb.Tomb
	listener net.Listener
	requests atomic.Int32
}

func newMoody(t *testing.T) *moody {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &moody{
		listener: listener,
	}
	m.tomb.Go(m.accept)
	t.Cleanup(func() {
		listener.Close()
		m.tomb.Wait()
	})
	return m
}

func (m *moody) accept() error {
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

func (m *moody) send(t *testing.T, client *Client, method, body string, once bool) (Reply, error) {
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

// A skipper sees two boats arrive. The entry host sent the dispatch over a
// kept-alive connection, the service ran it and died before it answered, and
// the HTTP library sent it again over a new connection: it takes a request with
// an Idempotency-Key for one that may be repeated.
func TestNothingIsSentAgainBehindOurBack(t *testing.T) {
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
			server := newMoody(t)
			_, err := server.send(t, &client, c.method, c.body, c.once)
			require.NoError(t, err)
			reply, err := server.send(t, &client, c.method, c.body, c.once)
			require.Error(t, err)
			require.True(t, reply.Sent)
			require.EqualValues(t, 2, server.requests.Load())
		})
	}
}

// A caller reads "not run" of a request that was run. Its host lost the
// connection and took that for never having sent it. Only a connection that
// never came about proves anything.
func TestSentIsFalseOnlyWithoutConnection(t *testing.T) {
	var client Client
	defer client.Close()
	get := func(ctx context.Context, address string) (Reply, error) {
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
	reply, err := get(context.Background(), closed.Addr().String())
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
	var watch tomb.Tomb
	watch.Go(func() error {
		<-arrived
		cancel()
		return nil
	})
	reply, err = get(ctx, hanging.Listener.Addr().String())
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, reply.Sent, "given up after it arrived")
	require.NoError(t, watch.Wait())

	reply, err = get(ctx, hanging.Listener.Addr().String())
	require.ErrorIs(t, err, context.Canceled)
	require.False(t, reply.Sent, "given up before any connection")
}

// A dispatch runs at two services: the first redirected it, and the client
// followed by itself.
func TestRedirectsAreAnswers(t *testing.T) {
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

func TestBodiesAreBounded(t *testing.T) {
	body, err := ReadBody(strings.NewReader("12345"), 5)
	require.NoError(t, err)
	require.Equal(t, "12345", string(body))
	_, err = ReadBody(strings.NewReader("123456"), 5)
	require.ErrorIs(t, err, ErrTooLarge)
}

// A dispatch is sent a second time because a proxy put "not run" on an error
// page of its own. Only the statuses by which servers refuse carry the proof.
func TestProofCountsOnRefusalsOnly(t *testing.T) {
	for status, proves := range map[int]bool{200: false, 404: true, 429: true, 500: false, 502: false, 503: true} {
		recorder := httptest.NewRecorder()
		recorder.Header().Set("X-Not-Run", "true")
		recorder.WriteHeader(status)
		require.Equal(t, proves, SaysNotRun(recorder.Result()), status)
	}
}
