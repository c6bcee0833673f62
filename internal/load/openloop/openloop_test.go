package openloop

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/result"
	"cicadaloom/internal/peer/caller"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixedArrivals returns the given requests one by one.
type fixedArrivals []demand.Request

func (r *fixedArrivals) Next() (demand.Request, bool) {
	if len(*r) == 0 {
		return demand.Request{}, false
	}
	next := (*r)[0]
	*r = (*r)[1:]
	return next, true
}

// simultaneousRequests makes requests that all arrive now. The name of each tells the
// fake host how to answer.
func simultaneousRequests(names ...string) *fixedArrivals {
	var all fixedArrivals
	now := time.Now()
	for i, name := range names {
		marker := fmt.Sprintf("q00000001-%07d", i)
		request := demand.Request{
			ID:       ident.RequestID("id-" + marker),
			At:       now,
			Deadline: now.Add(10 * time.Second),
			Name:     name,
			Marker:   marker,
			Message:  marker + " hello",
			Chat: &demand.Chat{
				Prefix: "instructions",
				Tokens: 3,
				Stream: name != "whole",
			},
		}
		if strings.HasPrefix(name, "desk") {
			request.Chat = nil
			request.Key = ident.IdempotencyKey("key-" + marker)
			request.Service = &demand.Call{
				Method: http.MethodPost,
				Path:   "/dispatch",
			}
		}
		all = append(all, request)
	}
	return &all
}

// startFakeHost starts a server that answers like an entry host, in the way that the
// name of the model selects.
func startFakeHost(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/services/desk/dispatch" {
			if r.Header.Get(caller.HeaderIdempotencyKey) == "" {
				w.WriteHeader(http.StatusBadRequest)
			}
			w.Header().Set(caller.HeaderReplayed, "true")
			fmt.Fprintf(w, `{"Body":%q}`, body)
			return
		}
		var chat wireChat
		if json.Unmarshal(body, &chat) != nil || len(chat.Messages) != 2 || r.Header.Get(caller.HeaderDeadline) == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeFakeAnswer(w, chat.Model, chat.Messages[1].Content)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func writeFakeAnswer(w http.ResponseWriter, model, message string) {
	if model == "whole" {
		fmt.Fprintf(w, `{"choices":[{"message":{"content":"echo of %s"}}],"usage":{"completion_tokens":3}}`, message)
		return
	}
	if model == "busy" {
		w.Header().Set(caller.HeaderRun, "NotRun")
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":{"code":"too_busy","run":"NotRun"}}`)
		return
	}
	if model == "foreign" {
		message = "q00000001-9999999 of somebody else"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, token := range []string{"echo of " + message, " one", " two"} {
		if model == "short" && i == 2 {
			break
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token)
	}
	switch model {
	case "cut":
		fmt.Fprint(w, "data: {\"error\":{\"code\":\"stream_cut\",\"run\":\"MayHaveRun\"}}\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "unended":
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// sendAll sends requests and returns their records by name.
func sendAll(t *testing.T, sender *Sender, arrivals Arrivals) map[string]*result.Record {
	t.Helper()
	var mu sync.Mutex
	records := make(map[string]*result.Record)
	sender.Record = func(record *result.Record) {
		mu.Lock()
		defer mu.Unlock()
		records[record.Request.Name] = record
	}
	require.NoError(t, sender.Run(context.Background(), arrivals))
	return records
}

func TestAnswersAreClassifiedByKindAndContent(t *testing.T) {
	records := sendAll(t, &Sender{
		Targets: []string{startFakeHost(t)},
	}, simultaneousRequests("good", "whole", "desk", "busy", "foreign", "short", "cut", "unended"))
	kinds := make(map[string]string)
	for name, record := range records {
		kinds[name] = string(record.Kind) + " " + string(record.Content)
	}
	require.Equal(t, map[string]string{
		"good":    "Answered Own",
		"whole":   "Answered Own",
		"desk":    "Answered Own",
		"busy":    "Refused ",
		"foreign": "Answered Foreign",
		"short":   "Answered Short",
		"cut":     "Cut Own",
		"unended": "Cut Own",
	}, kinds)
	require.Len(t, records["good"].Gaps, 2)
	require.Equal(t, 3, records["whole"].Tokens)
	require.Positive(t, records["good"].FirstToken)
	require.True(t, records["desk"].Replayed)
	require.Equal(t, "too_busy", records["busy"].Code)
	require.Equal(t, "NotRun", records["busy"].Run)
	require.Equal(t, "stream_cut", records["cut"].Code)
}

// Guards against waiting for another request to end before sending: that is a closed
// loop, in which a hung server gets fewer requests and the results look good. The
// host hangs until all requests have arrived; the third exceeds MaxOpen and is
// counted at once.
func TestRequestsBeyondMaxOpenAreNotSent(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	var collector result.Collector
	sender := Sender{
		Targets: []string{server.Listener.Addr().String()},
		MaxOpen: 2,
		Record: func(record *result.Record) {
			collector.Add(record)
			if record.Kind == result.NotSent {
				close(release)
			}
		},
	}
	require.NoError(t, sender.Run(context.Background(), simultaneousRequests("a", "b", "c")))
	counts := collector.Summary(time.Second, 0).Counts
	require.Equal(t, 1, counts.NotSent)
	require.Equal(t, 2, counts.Refused)
}

func TestUnreachableTargetIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	records := sendAll(t, &Sender{
		Targets: []string{listener.Addr().String(), startFakeHost(t)},
	}, simultaneousRequests("good", "whole"))
	require.Equal(t, result.Answered, records["good"].Kind)
	require.Equal(t, result.Answered, records["whole"].Kind)

	alone := sendAll(t, &Sender{
		Targets: []string{listener.Addr().String()},
	}, simultaneousRequests("good"))
	require.Equal(t, result.NoAnswer, alone["good"].Kind)
	require.Equal(t, "no connection", alone["good"].Cause)
}

// sequentialArrivals returns each request only when the one before it has ended.
type sequentialArrivals struct {
	*fixedArrivals
	ended chan struct{}
}

func (i *sequentialArrivals) Next() (demand.Request, bool) {
	<-i.ended
	return i.fixedArrivals.Next()
}

// net/http itself resends a request that carries an idempotency key when the idle
// connection that it reuses breaks before the answer. The caller would see one slow
// answer where the server received two requests. Here the second request reuses the
// connection of the first.
func TestRequestOnBrokenConnectionIsNotResent(t *testing.T) {
	var numReceived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if numReceived.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	arrivals := sequentialArrivals{
		fixedArrivals: simultaneousRequests("desk", "desk"),
		ended:         make(chan struct{}, 3),
	}
	arrivals.ended <- struct{}{}
	var kinds []result.Kind
	sender := Sender{
		Targets: []string{server.Listener.Addr().String()},
		Record: func(record *result.Record) {
			kinds = append(kinds, record.Kind)
			arrivals.ended <- struct{}{}
		},
	}
	require.NoError(t, sender.Run(context.Background(), &arrivals))
	require.Equal(t, []result.Kind{result.Answered, result.NoAnswer}, kinds)
	require.Equal(t, int64(2), numReceived.Load())
}

// Guards against answers that are not valid HTTP/1 and count as answered.
func TestInvalidAnswerCountsAsNone(t *testing.T) {
	for name, head := range map[string]string{
		"name with a blank": "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"impossible status": "HTTP/1.1 600 Error\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
			}))
			defer server.Close()
			var kinds []result.Kind
			sender := Sender{
				Targets: []string{server.Listener.Addr().String()},
				Record:  func(record *result.Record) { kinds = append(kinds, record.Kind) },
			}
			require.NoError(t, sender.Run(context.Background(), simultaneousRequests("desk")))
			require.Equal(t, []result.Kind{result.NoAnswer}, kinds)
		})
	}
}

func TestCancelledRunAbandonsOpenRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	arrivals := simultaneousRequests("open", "never")
	(*arrivals)[1].At = time.Now().Add(time.Hour)
	var collector result.Collector
	sender := Sender{
		Targets: []string{server.Listener.Addr().String()},
		Record:  collector.Add,
	}
	require.ErrorIs(t, sender.Run(ctx, arrivals), context.Canceled)
	require.Equal(t, map[string]int{"interrupted": 1}, collector.Summary(time.Second, 0).Causes)
}
