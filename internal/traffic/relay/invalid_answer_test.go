package relay

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/route"
)

// rawAnswer is an answer as it is written to the connection, without the fields that the test codec
// reads.
type rawAnswer struct {
	statusLine string
	header     string
	body       string
}

func newRawAnswer(statusLine, header, body string) rawAnswer {
	return rawAnswer{
		statusLine: statusLine,
		header:     header,
		body:       body,
	}
}

// write answers with the raw answer and ends the connection.
func (a *rawAnswer) write(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, a.statusLine+"\r\nId: "+r.Header.Get("Id")+"\r\nSigned: yes\r\n"+a.header+"\r\n"+a.body)
}

const (
	okLine      = "HTTP/1.1 200 OK"
	lengthField = "Content-Length: 2\r\n"
	chunkField  = "Transfer-Encoding: chunked\r\n"
	streamField = "Content-Type: text/event-stream\r\n"
	notRunField = "Not-Run: 1\r\n"
)

// requireNoAnswer checks that a client gets nothing of an answer, and no promise.
func requireNoAnswer(t *testing.T, r route.Route, answer rawAnswer) {
	t.Helper()
	w := newTestEnv(t, r)
	w.serve("a", answer.write)
	got := w.ask(http.MethodPost, "r1", http.Header{"Text": {"x"}})
	require.Equal(t, http.StatusBadGateway, got.status, got.body)
	require.Empty(t, got.header.Get("Signed"))
	require.Len(t, w.arrivals(), 1)
}

// Guards against an answer whose status does not exist that the client gets.
func TestAnswerWithImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 Error", "HTTP/1.1 000", "HTTP/1.1 099 Error", "HTTP/1.1 600 Error", "HTTP/1.1 999"} {
		t.Run(line, func(t *testing.T) {
			requireNoAnswer(t, unsafeRoute(), newRawAnswer(line, lengthField, "no"))
			requireNoAnswer(t, streamRoute(false), newRawAnswer(line, streamField, wholeStream(2)))
		})
	}
}

// Guards against an answer of a major version that is not read, which the client gets.
func TestAnswerOfOtherMajorVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0"} {
		t.Run(version, func(t *testing.T) {
			requireNoAnswer(t, unsafeRoute(), newRawAnswer(version+" 200 OK", lengthField, "ok"))
		})
	}
}

// invalidNames are lines of a header whose names are no tokens.
var invalidNames = map[string]string{
	"blank inside":       "Bad Name: x\r\n",
	"blank before colon": "Bad-Name : x\r\n",
	"tab":                "Bad\tName: x\r\n",
	"control byte":       "Bad\x01Name: x\r\n",
	"DEL":                "Bad\x7fName: x\r\n",
	"NUL":                "Bad\x00Name: x\r\n",
	"empty":              ": x\r\n",
}

// Guards against an answer with an invalid name in its head that the client gets, or whose proof
// counts.
func TestAnswerWithInvalidNameIsNoAnswer(t *testing.T) {
	for name, line := range invalidNames {
		for kind, answer := range map[string]rawAnswer{
			"success":  newRawAnswer(okLine, lengthField, "ok"),
			"unframed": newRawAnswer(okLine, "", "ok"),
			"failure":  newRawAnswer("HTTP/1.1 500 Error", lengthField, "no"),
			"refusal":  newRawAnswer("HTTP/1.1 503 Full", lengthField+notRunField, "no"),
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				answer.header += line
				requireNoAnswer(t, unsafeRoute(), answer)
			})
		}
		t.Run(name+", stream", func(t *testing.T) {
			requireNoAnswer(t, streamRoute(false), newRawAnswer(okLine, streamField+line, wholeStream(2)))
		})
	}
}

// Guards against framing fields with an invalid name that are not applied: the body that the client
// gets is not the server's.
func TestAnswerWithInvalidFramingIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]rawAnswer{
		"chunked":           newRawAnswer(okLine, "Transfer-Encoding : chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
		"chunked beside CL": newRawAnswer(okLine, "Transfer-Encoding : chunked\r\nContent-Length: 3\r\n", "2\r\nok\r\n0\r\n\r\n"),
		"length":            newRawAnswer(okLine, "Content-Length : 2\r\n", "ok and more"),
	} {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, unsafeRoute(), answer) })
	}
}

// Guards against chunks in an answer of HTTP/1.0, which has none, that the client gets as the body.
func TestChunksOfOldVersionAreNoAnswer(t *testing.T) {
	requireNoAnswer(t, unsafeRoute(), newRawAnswer("HTTP/1.0 200 OK", chunkField, "2\r\nok\r\n0\r\n\r\n"))
	requireNoAnswer(t, unsafeRoute(), newRawAnswer("HTTP/1.0 200 OK", chunkField+"Content-Length: 3\r\n", "2\r\nok\r\n0\r\n\r\n"))
	requireNoAnswer(t, streamRoute(false), newRawAnswer("HTTP/1.0 200 OK", streamField+chunkField, "15\r\n"+wholeStream(1)+"\r\n0\r\n\r\n"))
}

// Guards against an answer with an invalid name in its trailer that the client takes for whole.
func TestAnswerWithInvalidTrailerIsNotComplete(t *testing.T) {
	for name, line := range invalidNames {
		t.Run(name, func(t *testing.T) {
			requireNoAnswer(t, unsafeRoute(), newRawAnswer(okLine, chunkField, "2\r\nok\r\n0\r\n"+line+"\r\n"))
		})
		t.Run(name+", stream", func(t *testing.T) {
			w := newTestEnv(t, streamRoute(false))
			answer := newRawAnswer(okLine, streamField+chunkField, "15\r\n"+wholeStream(1)+"\r\n0\r\n"+line+"\r\n")
			w.serve("a", answer.write)
			got := w.ask(http.MethodPost, "r1", nil)
			require.Error(t, got.err)
			require.Equal(t, wholeStream(1), got.body)
		})
	}
}

// Guards against valid answers of unusual form that are lost.
func TestUnusualValidAnswerIsPassedOn(t *testing.T) {
	for name, answer := range map[string]rawAnswer{
		"no reason":            newRawAnswer("HTTP/1.1 200", lengthField, "ok"),
		"HTTP/1.0":             newRawAnswer("HTTP/1.0 200 OK", lengthField, "ok"),
		"HTTP/1.0, unframed":   newRawAnswer("HTTP/1.0 200 OK", "", "ok"),
		"higher minor version": newRawAnswer("HTTP/1.9 200 OK", lengthField, "ok"),
		"lines end with LF":    newRawAnswer(okLine, "Content-Length: 2\nOther: x\n", "ok"),
		"status without name":  newRawAnswer("HTTP/1.1 299 Unusual", lengthField, "ok"),
		"all token characters": newRawAnswer(okLine, lengthField+"!#$%&'*+-.^_`|~0Aa: x\r\n", "ok"),
		"trailer":              newRawAnswer(okLine, chunkField+"Trailer: Sum\r\n", "2\r\nok\r\n0\r\nSum: 1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, unsafeRoute())
			w.serve("a", answer.write)
			got := w.ask(http.MethodPost, "r1", http.Header{"Text": {"x"}})
			require.NoError(t, got.err)
			require.Less(t, got.status, http.StatusMultipleChoices, got.body)
			require.Equal(t, "ok", got.body)
		})
	}
}
