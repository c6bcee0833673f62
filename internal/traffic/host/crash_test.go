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

// A whole region is down: one prompt crashes each engine that runs it, an eager
// client sends it many times at once through the balancer to all hosts, and each
// copy takes another engine along before any host has heard of a death. However
// many copies come at once, and again, two engines are lost at most. What others
// ask is answered.
func TestOneRequestThroughAllHostsTakesTwoReplicasAtMost(t *testing.T) {
	f := newFleet(t, crashEngines, crashHosts)
	f.put("testdata/crash.json", 1)
	f.awaitReplicas("briefing", crashEngines)
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
				if f.ask(i%crashHosts, "poison") == http.StatusOK {
					poisoned.Add(1)
				}
			})
		}
		wait.Wait()
	}
	for i := range crashCopies {
		wait.Go(func() {
			if f.ask(i%crashHosts, fmt.Sprint("innocent ", i)) == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	require.LessOrEqual(t, f.total(func(s engine.Stats) int { return s.Crashes }), 2)
	require.Zero(t, poisoned.Load())
	require.EqualValues(t, crashCopies, answered.Load())
}

// awaitReplicas waits until every host sees so many replicas.
func (f *fleet) awaitReplicas(model string, count int) {
	for _, running := range f.hosts {
		require.Eventually(f.t, func() bool {
			target, found := running.control.Table().Target(ident.ModelName(model))
			return found && len(target.Replicas) == count
		}, waitMost, waitEvery)
	}
}

// ask sends one short chat and gives the status.
func (f *fleet) ask(host int, text string) int {
	answer, err := f.chat(context.Background(), host, `{"model":"briefing","max_tokens":2,"messages":[{"role":"user","content":"`+text+`"}]}`)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}
