package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// historyFollower is a host that learns of the engines' models some rounds late, as from
// the leader's messages.
type historyFollower struct {
	states  []map[ident.ServerName]LoadedModels
	history LoadHistory
}

func (f *historyFollower) observe(fleet *fakeFleet, lag int) {
	state := make(map[ident.ServerName]LoadedModels)
	for _, e := range fleet.engines {
		report := fleet.report(e)
		state[e.name] = modelsInReport(&report)
	}
	f.states = append(f.states, state)
	if len(f.states) <= lag {
		return
	}
	delayed := f.states[len(f.states)-1-lag]
	if f.history.CompleteSince.IsZero() {
		f.history.CompleteSince = fleet.now
	}
	for name, models := range delayed {
		for range models.CountLoadsSince(f.history.Models[name]) {
			f.history.StartTimes = append(f.history.StartTimes, fleet.now)
		}
	}
	f.history.Models = delayed
}

// maxStartsInWindow returns the highest number of loads that started within one window.
func maxStartsInWindow(starts []time.Time) int {
	maxStarts := 0
	for i := range starts {
		inWindow := 0
		for _, other := range starts[i:] {
			if other.Sub(starts[i]) < defaultWindow {
				inWindow++
			}
		}
		maxStarts = max(maxStarts, inWindow)
	}
	return maxStarts
}

// The leader changes while a fleet loads its models from the weight store. Each new leader
// knows of earlier loads only what it learned some rounds ago. All leaders together must
// keep the load rate limit: exceeding it would slow down all loads.
func TestLoadRateLimitHoldsAcrossLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFakeFleet(8, 16)
		fleet.spec.LoadsPerSecond = 2
		var follower historyFollower
		lag := rapid.IntRange(0, 8).Draw(t, "lag")
		token := ident.FencingNumber(1)
		planner := NewPlanner(Options{})
		planner.Configure(fleet.spec)
		for range rapid.IntRange(50, 300).Draw(t, "rounds") {
			if rapid.IntRange(0, 40).Draw(t, "holder") == 0 {
				token++
				planner = NewPlanner(Options{})
				planner.Configure(fleet.spec)
				planner.ResumeRateLimit(fleet.now, follower.history)
			}
			if rapid.IntRange(0, 15).Draw(t, "dropped") == 0 {
				e := fleet.engines[rapid.IntRange(0, 7).Draw(t, "server")]
				e.restart()
				e.onDisk = nil
			}
			fleet.runRound(planner, token)
			follower.observe(fleet, lag)
		}
		require.LessOrEqual(t, float64(maxStartsInWindow(fleet.loadStarts)), fleet.spec.LoadsPerSecond*defaultWindow.Seconds()*1.1+3)
	})
}

// The leader changes just when a model becomes busy whose weights no engine has on disk.
// The new leader has followed all loads, and none of them is recent: the model must get a
// replica within two seconds. If the rate limit counts as used up instead, its prompts are
// refused for more than five seconds.
func TestBusyModelLoadsSoonAfterLeaderChange(t *testing.T) {
	fleet := newFakeFleet(8, 8)
	var follower historyFollower
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 400 {
		fleet.runRound(planner, 1)
		follower.observe(fleet, 3)
	}
	for _, e := range fleet.engines {
		e.onDisk = nil
	}
	before := fleet.countReplicas("ma")
	planner = NewPlanner(Options{})
	planner.Configure(fleet.spec)
	planner.ResumeRateLimit(fleet.now, follower.history)
	tookOver := fleet.now
	for fleet.now.Sub(tookOver) < 2*time.Second {
		planner.AddDemand(fleet.now, "r", request.Weights{
			Model: "ma",
		}, Demand{
			Requests: 5,
			Work:     0.3,
		})
		fleet.runRound(planner, 2)
	}
	require.NotEmpty(t, fleet.loadStarts)
	require.Positive(t, fleet.loadStarts[len(fleet.loadStarts)-1].Sub(tookOver), "a load has started since")
	require.Positive(t, before)
}

// All engines crash under a later leader and restart empty. The loads of their former
// models have been counted when they were ordered. If each engine counts for one more
// unobserved load, half of the rate limit is used up just when everything must be loaded
// again.
func TestRestartedEnginesDoNotUseUpRateLimit(t *testing.T) {
	fleet := newFakeFleet(8, 8)
	fleet.spec.LoadsPerSecond = 2
	var follower historyFollower
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 400 {
		fleet.runRound(planner, 1)
		follower.observe(fleet, 3)
	}
	planner = NewPlanner(Options{})
	planner.Configure(fleet.spec)
	planner.ResumeRateLimit(fleet.now, follower.history)
	for range 100 {
		fleet.runRound(planner, 2)
	}
	for _, e := range fleet.engines {
		e.restart()
		e.onDisk = nil
	}
	fleet.loadStarts = nil
	for range 10 {
		fleet.runRound(planner, 2)
	}
	require.GreaterOrEqual(t, len(fleet.loadStarts), len(fleet.engines), "one load on each engine")
}
