package host

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cicadaloom/internal/standin/engine"
)

// sendChat sends a chat to one host and returns the response when its headers
// have arrived.
func (f *fleet) sendChat(ctx context.Context, host int, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.hosts[host].CallersAddress+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

// sumStats returns the sum of a counter over all engines.
func (f *fleet) sumStats(count func(engine.Stats) int) int {
	sum := 0
	for _, running := range f.platform.Engines {
		sum += count(running.Stats())
	}
	return sum
}

const longAnswerTokens = 2000

// A caller closes its connection after a part of a long answer, or before any.
// The engine must stop generating instead of finishing an answer that no one
// reads, whether the answer is streamed or not.
func TestCancelledRequestStopsEngine(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.putDocument("testdata/kerlouan.json", 2)
	bodies := []string{
		`{"model":"briefing","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"drift"}]}`,
		`{"model":"briefing","max_tokens":2000,"messages":[{"role":"user","content":"drift"}]}`,
	}
	for i, body := range bodies {
		ctx, cancel := context.WithCancel(context.Background())
		if i == 0 {
			answer, err := f.sendChat(ctx, 0, body)
			require.NoError(t, err)
			_, err = bufio.NewReader(answer.Body).ReadString('\n')
			require.NoError(t, err)
			cancel()
			answer.Body.Close()
		} else {
			before := f.sumStats(func(s engine.Stats) int { return int(s.TokensGenerated) })
			go func() {
				assert.Eventually(t, func() bool {
					return f.sumStats(func(s engine.Stats) int { return int(s.TokensGenerated) }) > before
				}, waitTimeout, pollInterval)
				cancel()
			}()
			_, err := f.sendChat(ctx, 0, body)
			require.ErrorIs(t, err, context.Canceled)
		}
		require.Eventually(t, func() bool {
			return f.sumStats(func(s engine.Stats) int { return s.Cancelled }) == i+1
		}, waitTimeout, pollInterval)
		require.Less(t, f.sumStats(func(s engine.Stats) int { return int(s.TokensGenerated) }), longAnswerTokens/2)
	}
	require.Zero(t, f.sumStats(func(s engine.Stats) int { return s.Completed }))
}
