package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

// longUploadBytes exceeds what the buffers of a connection hold.
const longUploadBytes = 12 << 20

// allowLongUploads replaces the configuration's limit of request bodies.
func (w *testEnv) allowLongUploads() {
	configuration := *w.table.Configuration()
	configuration.Limits = route.Limits{
		MaxBody: unit.Bytes(2 * longUploadBytes),
	}
	w.setTable(routetable.New(&configuration))
}

// upload sends a request with a long body.
func (w *testEnv) upload(id string) reply {
	w.t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.front.URL+"/x", strings.NewReader(strings.Repeat("u", longUploadBytes)))
	require.NoError(w.t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", id)
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(w.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   string(body),
		err:    err,
	}
}

// answerEarly answers without a length before it has read the request's body, and ends the
// connection as end does.
func answerEarly(head, body string, end func(conn *net.TCPConn, upload io.Reader)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 "+head+"\r\nId: "+r.Header.Get("Id")+"\r\nSigned: yes\r\n\r\n"+body)
		end(conn.(*net.TCPConn), buffered)
	}
}

// resetAfter resets the connection after a delay, without reading.
func resetAfter(delay time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	}
}

// closeAfter reads a part of the upload and closes the connection.
func closeAfter(size int64) func(*net.TCPConn, io.Reader) {
	return func(_ *net.TCPConn, upload io.Reader) { _, _ = io.CopyN(io.Discard, upload, size) }
}

// readToEnd reads the upload to its end.
func readToEnd(_ *net.TCPConn, upload io.Reader) {
	_, _ = io.CopyN(io.Discard, upload, longUploadBytes)
}

// endSending ends the answer, and reads the upload to its end.
func endSending(conn *net.TCPConn, upload io.Reader) {
	_ = conn.CloseWrite()
	readToEnd(conn, upload)
}

var unsoundEnds = map[string]func(*net.TCPConn, io.Reader){
	"reset at once":     resetAfter(0),
	"reset after 5 ms":  resetAfter(5 * time.Millisecond),
	"reset after 40 ms": resetAfter(40 * time.Millisecond),
	"closed at once":    closeAfter(0),
	"closed halfway":    closeAfter(longUploadBytes / 2),
}

const uploadsPerEnd = 10

// Guards against a part of an early answer without a length, whose connection broke during the
// upload, that the client takes for the whole.
func TestEarlyAnswerThatIsResetIsNoAnswer(t *testing.T) {
	for name, end := range unsoundEnds {
		t.Run(name, func(t *testing.T) {
			for range uploadsPerEnd {
				w := newTestEnv(t, unsafeRoute()) // a server that breaks off gets no request for a while
				w.allowLongUploads()
				w.serve("a", answerEarly(plainHead, "a part", end))
				got := w.upload("r1")
				require.Equal(t, http.StatusBadGateway, got.status, got.body)
			}
		})
	}
}

// Guards against an early stream without chunks, whose connection broke during the upload, that the
// client takes for complete.
func TestEarlyStreamThatIsResetIsCut(t *testing.T) {
	for name, end := range unsoundEnds {
		t.Run(name, func(t *testing.T) {
			for range uploadsPerEnd {
				w := newTestEnv(t, streamRoute(false))
				w.allowLongUploads()
				w.serve("a", answerEarly(streamHead, wholeStream(2), end))
				got := w.upload("r1")
				require.True(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
			}
		})
	}
}

// Guards against sound early answers without a length that are lost.
func TestEarlyAnswerIsPassedOnWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn, io.Reader){
		"reads to the end":               readToEnd,
		"ends the answer, then reads on": endSending,
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, unsafeRoute())
			w.allowLongUploads()
			w.serve("a", answerEarly(plainHead, "answer", end))
			for range uploadsPerEnd {
				got := w.upload("r1")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, "answer", got.body)
			}
		})
	}
}
