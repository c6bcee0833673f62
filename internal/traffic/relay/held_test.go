package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

func newHeldEnv(t *testing.T, kind route.Kind, limit unit.Bytes) *testEnv {
	w := newTestEnv(t, route.Route{
		Kind:        kind,
		Timeout:     20 * time.Second,
		MaxAttempts: 2,
	})
	w.handler.HeldBytes = heldbytes.New(limit, MaxAnswerBytes)
	return w
}

// requireNothingHeld waits until all requests have released what they held.
func (w *testEnv) requireNothingHeld() {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.handler.HeldBytes.Stats().Held == 0 }, 10*time.Second, time.Millisecond)
}

// countSends returns how many sends have ended with a result.
func (w *testEnv) countSends(result balance.Result) uint64 {
	return w.handler.Metrics.set.GetOrCreateCounter(`cicadaloom_sends_total{service="desk",result="` + string(result) + `"}`).Get()
}

// askEndless sends a request whose answer has no end. It returns an error if it succeeds.
func (w *testEnv) askEndless(id string) error {
	response, err := w.open(context.Background(), http.MethodPost, id, http.Header{"Bad": {"1"}, "Text": {id}, "Left": {"3s"}})
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	switch {
	case err != nil, response.StatusCode == http.StatusBadGateway, response.StatusCode == http.StatusGatewayTimeout:
		return nil
	case response.StatusCode == http.StatusServiceUnavailable && !slices.Contains(w.arrivals(), "a "+id):
		return nil // the pool rests a server that fails often
	}
	return errors.Errorf("%s is answered %d", id, response.StatusCode)
}

// maxHeap returns the largest heap, garbage included, until a function returns.
func maxHeap(t *testing.T, run func()) uint64 {
	var sampling tomb.Tomb
	largest := uint64(0)
	sampling.Go(func() error {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			largest = max(largest, stats.HeapAlloc)
			select {
			case <-ticker.C:
			case <-sampling.Dying():
				return nil
			}
		}
	})
	run()
	sampling.Kill(nil)
	require.NoError(t, sampling.Wait())
	return largest
}

// Load: 24 connections of one server send without end, at the speed of the loopback. Guards against
// a process that is killed for its memory.
func TestMemoryIsBoundedWhileServersSendWithoutEnd(t *testing.T) {
	const limit = 32 * unit.Mebibyte
	for name, head := range map[string]string{
		"head": "",
		"body": "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: yes\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := newHeldEnv(t, route.Unsafe, limit)
			w.serve("a", endless(head, "x"))
			largest := maxHeap(t, func() {
				var asking tomb.Tomb
				for i := range 24 {
					asking.Go(func() error { return w.askEndless("bad" + strconv.Itoa(i)) })
				}
				require.NoError(t, asking.Wait())
			})
			t.Logf("largest heap %s", unit.Bytes(largest))
			require.Less(t, unit.Bytes(largest), 4*limit)
		})
	}
}

// endless answers with a head and then with bytes until the connection is closed.
func endless(head, piece string) http.HandlerFunc {
	repeated := []byte(strings.Repeat(piece, 64<<10/len(piece)))
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, err = io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("Id")))
		for err == nil {
			_, err = conn.Write(repeated)
		}
	}
}

// Load: a third of a server's answers have no end, 16 at a time. Guards against a server that costs
// the process its memory, or other requests their room in it.
func TestAnswersWithoutEndCostTheirOwnRequestsOnly(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: yes\r\n"
	for name, answer := range map[string]http.HandlerFunc{
		"head":        endless("", "x"),
		"body":        endless(signed+"\r\n", "x"),
		"long body":   endless(signed+"Content-Length: 1000000000000\r\n\r\n", "x"),
		"chunks":      endless(signed+"Transfer-Encoding: chunked\r\n\r\n", "40\r\n"+strings.Repeat("x", 64)+"\r\n"),
		"event":       endless(signed+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"),
		"event lines": endless(signed+"Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: "+strings.Repeat("x", 64)+"\n"),
	} {
		t.Run(name, func(t *testing.T) {
			const limit = 32 * unit.Mebibyte
			kind := route.Safe
			if strings.HasPrefix(name, "event") {
				kind = route.Stream
			}
			w := newHeldEnv(t, kind, limit)
			w.serve("a", func(to http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Bad") != "" {
					answer(to, r)
					return
				}
				if kind == route.Stream {
					events(3, 0)(to, r)
					return
				}
				_, _ = io.WriteString(to, "whole")
			})
			var bad tomb.Tomb
			for i := range 16 {
				bad.Go(func() error { return w.askEndless("bad" + strconv.Itoa(i)) })
			}
			for i := range 32 {
				id := "good" + strconv.Itoa(i)
				got := w.ask(http.MethodPost, id, http.Header{"Text": {id}})
				require.NoError(t, got.err)
				require.NotContains(t, got.body, "memory")
				if got.status != http.StatusServiceUnavailable { // the pool rests a server that fails often
					require.Equal(t, http.StatusOK, got.status, got.body)
				}
			}
			require.NoError(t, bad.Wait())
			require.LessOrEqual(t, w.handler.HeldBytes.Stats().Peak, limit)
			w.requireNothingHeld()
			require.Eventually(t, func() bool {
				return w.ask(http.MethodPost, "last", http.Header{"Text": {"last"}}).status == http.StatusOK
			}, 10*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against a bound that cuts a sound server's long answer.
func TestLongAnswerIsDeliveredWhole(t *testing.T) {
	whole := bytes.Repeat([]byte("0123456789abcdef"), int(MaxAnswerBytes/16))
	for name, length := range map[string]string{"length": strconv.Itoa(len(whole)), "chunks": ""} {
		t.Run(name, func(t *testing.T) {
			w := newHeldEnv(t, route.Unsafe, 36*unit.Mebibyte)
			w.serve("a", func(to http.ResponseWriter, _ *http.Request) {
				if length != "" {
					to.Header().Set("Content-Length", length)
				}
				_, _ = to.Write(whole)
			})
			got := w.ask(http.MethodPost, "r1", nil)
			require.Equal(t, http.StatusOK, got.status)
			require.True(t, got.body == string(whole))
			w.requireNothingHeld()
		})
	}
}

// Guards against a refusal for memory of a request that was sent, and against a body that is held
// by the client's word alone.
func TestRequestWithoutRoomIsRefusedUnsent(t *testing.T) {
	w := newHeldEnv(t, route.Unsafe, unit.Mebibyte)
	w.serve("a", answerWith(http.StatusOK, "done"))
	others := make([]heldbytes.Hold, unit.Mebibyte/heldbytes.SmallBytes)
	for i := range others {
		others[i] = w.handler.HeldBytes.Hold()
		require.True(t, others[i].Grow(int(heldbytes.SmallBytes)))
	}
	got := w.ask(http.MethodPost, "r1", http.Header{"Text": {"order"}})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, w.arrivals())
	others[0].Release()
	got = w.ask(http.MethodPost, "r2", http.Header{"Text": {"order"}})
	require.Equal(t, http.StatusOK, got.status)
}

// Guards against "not run" for a request that ran and whose answer found no room.
func TestAnswerWithoutRoomIsNoRefusal(t *testing.T) {
	for _, kind := range []route.Kind{route.Safe, route.Unsafe} {
		w := newHeldEnv(t, kind, 2*unit.Mebibyte)
		w.serve("a", answerWith(http.StatusOK, strings.Repeat("x", 3<<20)))
		w.serve("b", answerWith(http.StatusOK, strings.Repeat("x", 3<<20)))
		got := w.ask(http.MethodPost, "r1", nil)
		require.Equal(t, http.StatusBadGateway, got.status, kind)
		require.Len(t, w.arrivals(), 1, "no other server is asked")
		w.requireNothingHeld()
	}
}

// Load: a client that reads nothing for a while. Guards against the end of its answer being lost,
// and against its server being kept busy meanwhile.
func TestSlowReaderGetsWholeAnswerAndKeepsNoServer(t *testing.T) {
	whole := bytes.Repeat([]byte("0123456789abcdef"), 8<<16)
	for name, isUnframed := range map[string]bool{"length": false, "until close": true} {
		t.Run(name, func(t *testing.T) {
			w := newHeldEnv(t, route.Unsafe, 64*unit.Mebibyte)
			w.serve("a", func(to http.ResponseWriter, r *http.Request) {
				if isUnframed {
					unframed(plainHead, string(whole), false)(to, r)
				} else {
					_, _ = to.Write(whole)
				}
			})
			conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: desk.example\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return w.countSends(balance.Answered) == 1 }, 10*time.Second, time.Millisecond)
			require.Positive(t, w.handler.HeldBytes.Stats().Held, "for the client")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			got, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.True(t, bytes.Equal(whole, got))
			w.requireNothingHeld()
		})
	}
}

// Guards against a body that is lost or held by the client's word: some bytes come, then no more.
func TestBodyIsHeldAsItArrives(t *testing.T) {
	w := newHeldEnv(t, route.Unsafe, unit.Mebibyte)
	w.table.Configuration().Limits.MaxBody = 4 << 20
	w.serve("a", func(to http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(to, strconv.FormatInt(n, 10))
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 3 {
		conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: desk.example\r\nId: r0\r\nContent-Length: 4000000\r\n\r\nsome")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return w.handler.InFlight() == 3 }, 10*time.Second, time.Millisecond)
	for _, length := range []int{1, 2 << 10, maxPartBytes, 300 << 10} {
		response, err := w.open(ctx, http.MethodPost, "r"+strconv.Itoa(length), http.Header{"Text": {strings.Repeat("x", length)}})
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, strconv.Itoa(length), string(body))
		response.Body.Close()
	}
	require.LessOrEqual(t, w.handler.HeldBytes.Stats().Held, 3*heldbytes.SmallBytes)
}

// writeLongEvents writes events of 8 kB, until an error.
func writeLongEvents(to io.Writer, last int) {
	data := "\ndata: " + strings.Repeat("x", 8<<10) + "\n\n"
	for n := 1; n <= last; n++ {
		if _, err := io.WriteString(to, "id: "+strconv.Itoa(n)+data); err != nil {
			return
		}
	}
}

// Load: a client that reads nothing for a while, of a stream longer than all buffers of the kernel.
// Guards against a server that cuts the stream since it is not read, and against its slot being
// kept.
func TestSlowReaderOfStreamGetsItsEnd(t *testing.T) {
	const last = 2000
	var isDone atomic.Bool
	var whole bytes.Buffer
	writeLongEvents(&whole, last)
	w := newHeldEnv(t, route.Stream, 256*unit.Mebibyte)
	w.serve("a", func(to http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(to).SetWriteDeadline(time.Now().Add(5 * time.Second))
		to.Header().Set("Content-Type", "text/event-stream")
		writeLongEvents(to, last)
		isDone.Store(true)
	})
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: desk.example\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return w.handler.HeldBytes.Stats().Held > unit.Mebibyte && isDone.Load() }, 20*time.Second, time.Millisecond)
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		if response.Header.Get("Content-Type") == "text/event-stream" {
			require.True(t, bytes.Equal(got, whole.Bytes()))
			_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: desk.example\r\nId: r2\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
		}
	}
	w.requireNothingHeld()
}

// Load: a client that reads nothing of an endless stream. Guards against reading ahead without a
// bound, and against bytes that stay held when the client leaves.
func TestReadingAheadIsBounded(t *testing.T) {
	const limit = 8 * unit.Mebibyte
	w := newHeldEnv(t, route.Stream, limit)
	w.serve("a", func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Content-Type", "text/event-stream")
		writeLongEvents(to, math.MaxInt)
	})
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: desk.example\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return w.handler.HeldBytes.Stats().Denied > 0 }, 20*time.Second, time.Millisecond)
	require.LessOrEqual(t, w.handler.HeldBytes.Stats().Peak, limit)
	require.NoError(t, conn.Close())
	w.requireNothingHeld()
}
