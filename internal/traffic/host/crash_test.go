package host

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/engine"
)

const (
	crashEngines = 6
	crashHosts   = 3
	crashCopies  = 24
	crashRounds  = 3
)

// One prompt crashes each engine that runs it, and a client sends many copies
// at once through the balancer to all hosts. If each copy crashed another
// engine before any host learned of the first crash, a whole region would fail.
// However many copies arrive, at once or later, at most two engines may crash,
// and other requests must be answered.
func TestCrashingRequestCrashesTwoEnginesAtMost(t *testing.T) {
	f := newFleet(t, crashEngines, crashHosts)
	f.putDocument("testdata/crash.json", 1)
	f.waitForReplicas("briefing", crashEngines)
	for _, running := range f.platform.Engines {
		running.Faults.Set(engine.Faults{
			CrashOnMarker: "poison",
		})
	}
	var answered, poisoned atomic.Int64
	var wait sync.WaitGroup
	for range crashRounds {
		for i := range crashCopies {
			wait.Go(func() {
				if f.chatStatus(i%crashHosts, "poison") == http.StatusOK {
					poisoned.Add(1)
				}
			})
		}
		wait.Wait()
	}
	for i := range crashCopies {
		wait.Go(func() {
			if f.chatStatus(i%crashHosts, fmt.Sprint("innocent ", i)) == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	require.LessOrEqual(t, f.sumStats(func(s engine.Stats) int { return s.Crashes }), 2)
	require.Zero(t, poisoned.Load())
	require.EqualValues(t, crashCopies, answered.Load())
}

// waitForReplicas waits until every host has the given number of replicas of a
// model in its table.
func (f *fleet) waitForReplicas(model string, count int) {
	for _, running := range f.hosts {
		require.Eventually(f.t, func() bool {
			target, found := running.control.Table().Target(ident.ModelName(model))
			return found && len(target.Replicas) == count
		}, waitTimeout, pollInterval)
	}
}

// chatStatus sends one short chat and returns the HTTP status, or 0 on an
// error.
func (f *fleet) chatStatus(host int, text string) int {
	answer, err := f.sendChat(context.Background(), host, `{"model":"briefing","max_tokens":2,"messages":[{"role":"user","content":"`+text+`"}]}`)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}
