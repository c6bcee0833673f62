package relay

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/route"
)

// lateRefusal refuses the first request on the first connection. What comes next there gets a copy
// of the refusal, and runs; so do the requests on other connections, without the copy.
type lateRefusal struct {
	connections atomic.Int32
	runs        atomic.Int32
}

func (l *lateRefusal) serve(w http.ResponseWriter, r *http.Request) {
	if l.connections.Add(1) > 1 {
		l.runs.Add(1)
		_, _ = io.WriteString(w, "done")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	header := "\r\nId: " + r.Header.Get("Id") + "\r\nSigned: yes\r\nContent-Length: 0\r\n"
	refusal := "HTTP/1.1 503 Full" + header + "Not-Run: 1\r\n\r\n"
	_, _ = io.WriteString(conn, refusal)
	reader := bufio.NewReader(conn)
	for {
		next, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, next.Body)
		l.runs.Add(1)
		_, _ = io.WriteString(conn, refusal+"HTTP/1.1 200 OK"+header+"\r\n")
	}
}

// Guards against a refusal that a server sends twice, the second time late, and that is taken as
// proof that the next send of the same request did not run.
func TestLateRefusalProvesNothingOfNextSend(t *testing.T) {
	w := newTestEnv(t, route.Route{
		Kind:        route.Unsafe,
		Timeout:     5 * time.Second,
		MaxAttempts: 1,
	})
	server := &lateRefusal{}
	w.serve("a", server.serve)
	got := w.ask(http.MethodPost, "r1", http.Header{"Text": {"order"}})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "done", got.body)
	require.EqualValues(t, 1, server.runs.Load())
}
