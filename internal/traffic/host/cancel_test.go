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

// chat sends a chat to one host and gives the answer as it begins.
func (f *fleet) chat(ctx context.Context, host int, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.hosts[host].Callers+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

// total adds a counter up over the engines.
func (f *fleet) total(count func(engine.Stats) int) int {
	sum := 0
	for _, running := range f.platform.Engines {
		sum += count(running.Stats())
	}
	return sum
}

const longAnswer = 2000

// Accelerators work for nobody: a caller closes its connection, having read a
// part of a long answer or nothing yet, and the engine goes on to the end. It
// must stop, whether the answer was a stream or whole.
func TestNobodyWaitsSoTheEngineStops(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.put("testdata/kerlouan.json", 2)
	bodies := []string{
		`{"model":"briefing","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"drift"}]}`,
		`{"model":"briefing","max_tokens":2000,"messages":[{"role":"user","content":"drift"}]}`,
	}
	for i, body := range bodies {
		ctx, cancel := context.WithCancel(context.Background())
		if i == 0 {
			answer, err := f.chat(ctx, 0, body)
			require.NoError(t, err)
			_, err = bufio.NewReader(answer.Body).ReadString('\n')
			require.NoError(t, err)
			cancel()
			answer.Body.Close()
		} else {
			before := f.total(func(s engine.Stats) int { return int(s.TokensGenerated) })
			go func() {
				assert.Eventually(t, func() bool {
					return f.total(func(s engine.Stats) int { return int(s.TokensGenerated) }) > before
				}, waitMost, waitEvery)
				cancel()
			}()
			_, err := f.chat(ctx, 0, body)
			require.ErrorIs(t, err, context.Canceled)
		}
		require.Eventually(t, func() bool {
			return f.total(func(s engine.Stats) int { return s.Cancelled }) == i+1
		}, waitMost, waitEvery)
		require.Less(t, f.total(func(s engine.Stats) int { return int(s.TokensGenerated) }), longAnswer/2)
	}
	require.Zero(t, f.total(func(s engine.Stats) int { return s.Completed }))
}
