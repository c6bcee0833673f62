package relay

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unframed answers without a length and without chunks, and ends the connection, by a reset if
// isReset is set.
func unframed(head, body string, isReset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 "+head+"\r\nId: "+r.Header.Get("Id")+"\r\nSigned: yes\r\n\r\n"+body)
		if isReset {
			time.Sleep(50 * time.Millisecond) // a reset overtakes what has not been read
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

const (
	plainHead  = "200 OK"
	streamHead = "200 OK\r\nContent-Type: text/event-stream"
)

// unframedAnswer is an answer of unframed.
type unframedAnswer struct {
	head   string
	body   string
	status int
}

func newUnframedAnswer(phrase, body string, status int) unframedAnswer {
	return unframedAnswer{
		head:   strconv.Itoa(status) + " " + phrase,
		body:   body,
		status: status,
	}
}

// Guards against answers without a length of which the client gets a part, or that are lost.
func TestAnswerWithoutLengthIsPassedOnWhole(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 64<<10)
	for name, answer := range map[string]unframedAnswer{
		"success":       newUnframedAnswer("OK", "answer", http.StatusOK),
		"long success":  newUnframedAnswer("OK", long, http.StatusOK),
		"empty success": newUnframedAnswer("OK", "", http.StatusOK),
		"failure":       newUnframedAnswer("Internal Server Error", "failed", http.StatusInternalServerError),
		"not found":     newUnframedAnswer("Not Found", "none", http.StatusNotFound),
		"no content":    newUnframedAnswer("No Content", "", http.StatusNoContent),
		"not modified":  newUnframedAnswer("Not Modified", "", http.StatusNotModified),
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, unsafeRoute())
			w.serve("a", unframed(answer.head, answer.body, false))
			for _, id := range []string{"r1", "r2"} {
				got := w.ask(http.MethodPost, id, http.Header{"Text": {"x"}})
				require.NoError(t, got.err)
				require.Equal(t, answer.status, got.status)
				require.Equal(t, answer.body, got.body)
				require.Equal(t, "yes", got.header.Get("Signed"))
				if answer.status == http.StatusOK {
					require.Equal(t, strconv.Itoa(len(answer.body)), got.header.Get("Content-Length"), "what is complete must look so")
				}
			}
		})
	}
}

// Guards against a refusal without a length that counts as a request that may have run.
func TestRefusalWithoutLengthProvesNotRun(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	w.serve("a", unframed("503 Service Unavailable\r\nNot-Run: 1", "full", false))
	got := w.ask(http.MethodPost, "r1", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// Guards against a part of an answer without a length, of which the rest was lost by a reset, that the
// client takes for the whole.
func TestAnswerWithoutLengthThatIsResetIsNoAnswer(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	w.serve("a", unframed(plainHead, "a part", true))
	require.Equal(t, http.StatusBadGateway, w.ask(http.MethodPost, "r1", nil).status)
}

// Guards against a stream without chunks that is not passed on as it comes, or whose end is not the
// client's.
func TestStreamWithoutLengthIsPassedOnWhole(t *testing.T) {
	w := newTestEnv(t, streamRoute(false))
	w.serve("a", unframed(streamHead, wholeStream(3), false))
	for _, id := range []string{"r1", "r2"} {
		got := w.ask(http.MethodPost, id, nil)
		require.NoError(t, got.err)
		require.Equal(t, wholeStream(3), got.body)
	}
	require.Len(t, w.arrivals(), 2)
}

// Guards against a stream without chunks that ends inside an event, or by a reset, and that the client
// takes for complete, or that doesn't go on at another server.
func TestStreamWithoutLengthThatBreaksOffGoesOn(t *testing.T) {
	for name, isReset := range map[string]bool{
		"inside an event": false,
		"by a reset":      true,
	} {
		broken := wholeStream(2)
		if !isReset {
			broken += "id: 3\ndata: pie"
		}
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, streamRoute(true))
			w.serve("a", unframed(streamHead, broken, isReset))
			answered := make(chan reply, 1)
			go func() { answered <- w.ask(http.MethodPost, "r1", nil) }()
			require.Eventually(t, func() bool { return len(w.arrivals()) == 1 }, 5*time.Second, time.Millisecond)
			w.serve("b", events(4, 0))
			got := <-answered
			require.NoError(t, got.err)
			require.Equal(t, wholeStream(4), got.body)
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			w := newTestEnv(t, streamRoute(false))
			w.serve("a", unframed(streamHead, broken, isReset))
			got := w.ask(http.MethodPost, "r1", nil)
			require.Error(t, got.err, "what is not complete must not look so")
			require.Equal(t, wholeStream(2), got.body)
		})
	}
}
