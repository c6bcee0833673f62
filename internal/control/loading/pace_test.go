package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// follower is a host that hears what engines hold some rounds late, as from the words of
// the holder.
type follower struct {
	words []map[ident.ServerName]Held
	past  Past
}

func (f *follower) hear(w *world, lag int) {
	word := make(map[ident.ServerName]Held)
	for _, e := range w.engines {
		report := w.report(e)
		word[e.name] = heldIn(&report)
	}
	f.words = append(f.words, word)
	if len(f.words) <= lag {
		return
	}
	heard := f.words[len(f.words)-1-lag]
	if f.past.Known.IsZero() {
		f.past.Known = w.now
	}
	for name, held := range heard {
		for range held.LoadsSince(f.past.Held[name]) {
			f.past.Loads = append(f.past.Loads, w.now)
		}
	}
	f.past.Held = heard
}

// mostInWindow is how many loads began in one window of the pace at most.
func mostInWindow(begun []time.Time) int {
	most := 0
	for i := range begun {
		inWindow := 0
		for _, other := range begun[i:] {
			if other.Sub(begun[i]) < defaultWindow {
				inWindow++
			}
		}
		most = max(most, inWindow)
	}
	return most
}

// Holders change while a fleet fills from the weight store, and each new one knows of the
// loads only what the words of the former told some rounds ago. Together they never begin
// more than the store's pace allows, or it would slow down all loads.
func TestHoldersKeepThePaceTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(8, 16)
		w.declare.LoadsPerSecond = 2
		var f follower
		lag := rapid.IntRange(0, 8).Draw(t, "lag")
		token := ident.FencingNumber(1)
		planner := NewPlanner(Options{})
		planner.Declare(w.declare)
		for range rapid.IntRange(50, 300).Draw(t, "rounds") {
			if rapid.IntRange(0, 40).Draw(t, "holder") == 0 {
				token++
				planner = NewPlanner(Options{})
				planner.Declare(w.declare)
				planner.BeginPaced(w.now, f.past)
			}
			if rapid.IntRange(0, 15).Draw(t, "dropped") == 0 {
				e := w.engines[rapid.IntRange(0, 7).Draw(t, "server")]
				e.restart()
				e.disk = nil
			}
			w.round(planner, token)
			f.hear(w, lag)
		}
		require.LessOrEqual(t, float64(mostInWindow(w.begun)), w.declare.LoadsPerSecond*defaultWindow.Seconds()*1.1+3)
	})
}

// The holder goes, and a model becomes busy just then whose weights no engine has at
// hand. The next holder has followed all of the former's loads, none of which is recent:
// the model gets its replicas within two seconds. Its prompts were refused for more than
// five, with the pace counted as used up.
func TestABusyModelNeedNotWaitForThePaceAfterATakeover(t *testing.T) {
	w := newWorld(8, 8)
	var f follower
	planner := NewPlanner(Options{})
	planner.Declare(w.declare)
	for range 400 {
		w.round(planner, 1)
		f.hear(w, 3)
	}
	for _, e := range w.engines {
		e.disk = nil
	}
	before := w.holding("ma")
	planner = NewPlanner(Options{})
	planner.Declare(w.declare)
	planner.BeginPaced(w.now, f.past)
	took := w.now
	for w.now.Sub(took) < 2*time.Second {
		planner.Ask(w.now, "r", request.Weights{
			Model: "ma",
		}, Demand{
			Requests: 5,
			Work:     0.3,
		})
		w.round(planner, 2)
	}
	require.NotEmpty(t, w.begun)
	require.Positive(t, w.begun[len(w.begun)-1].Sub(took), "a load has begun since")
	require.Positive(t, before)
}

// A later holder's engines crash together and come back empty. Each of them counted as one
// whose load nobody had seen, and half of the pace was gone just when all had to be loaded
// again. What this holder has ordered it has counted.
func TestEnginesThatBeginAnewLeaveThePace(t *testing.T) {
	w := newWorld(8, 8)
	w.declare.LoadsPerSecond = 2
	var f follower
	planner := NewPlanner(Options{})
	planner.Declare(w.declare)
	for range 400 {
		w.round(planner, 1)
		f.hear(w, 3)
	}
	planner = NewPlanner(Options{})
	planner.Declare(w.declare)
	planner.BeginPaced(w.now, f.past)
	for range 100 {
		w.round(planner, 2)
	}
	for _, e := range w.engines {
		e.restart()
		e.disk = nil
	}
	w.begun = nil
	for range 10 {
		w.round(planner, 2)
	}
	require.GreaterOrEqual(t, len(w.begun), len(w.engines), "one at each")
}
