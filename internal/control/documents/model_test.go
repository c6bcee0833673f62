package documents

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// act lets one thing happen that can happen.
func (w *world) act() {
	w.step++
	i := w.pick("host", len(w.hosts))
	switch w.pick("act", 24) {
	case 0, 1:
		w.submitRandom(i)
	case 2:
		if len(w.edits) > 0 {
			w.submitAgain(w.edits[w.pick("edit", len(w.edits))], i)
		}
	case 3:
		w.kv.down = w.pick("down", 3) == 0
	case 4:
		if w.pick("restart", 3) == 0 {
			w.restart(i)
		}
	case 5:
		w.hosts[i].watch.dead = true
	case 6:
		if w.hosts[i].watch.id != 0 {
			w.feed(i, WatchBroke{
				Watch: w.hosts[i].watch.id,
			})
		}
	case 7:
		if len(w.pending) > 0 {
			w.pending = append(w.pending[:0:0], w.pending[1:]...) // the oldest is lost
		}
	case 8:
		w.gossip(i, w.pick("to", len(w.hosts)))
	case 9:
		w.tell(i, w.pick("to", len(w.hosts)), ident.Revision(w.pick("since", 1+int(w.kv.revision))))
	case 10:
		w.watchStep(i, w.pick("skip", 2))
	case 11:
		w.pass(time.Duration(w.pick("pass", 3000)) * time.Millisecond)
	case 12:
		w.watchStep(i, 0)
	default:
		if len(w.pending) > 0 {
			w.deliver(w.pick("message", len(w.pending)), w.pick("twice", 4) == 0)
		}
	}
	w.check()
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.hosts {
		w.feed(i, Tick{})
	}
}

func (w *world) submitRandom(i int) {
	team := []ident.TeamName{"a", "b", "c"}[w.pick("team", 3)]
	name := "model-" + string(team)
	if w.pick("shared", 6) == 0 {
		name = "shared"
	}
	event := EditSubmitted{
		Team:   team,
		Base:   w.hosts[i].machine.revisionOf(team),
		Delete: w.pick("delete", 5) == 0,
	}
	switch w.pick("base", 6) {
	case 0:
		event.Base = 0
	case 1:
		event.Base = w.kv.entries[Key(team)].Revision // read at another host
	}
	if !event.Delete {
		event.Text = textOf(team, name, []unit.Bytes{20, 60, 90}[w.pick("memory", 3)], 1+w.pick("replicas", 2))
	}
	w.submit(i, event)
}

// check holds after every step.
func (w *world) check() {
	byEdit := make(map[ident.EditID]ident.Revision)
	byRevision := make(map[ident.Revision]Version)
	for _, entry := range w.kv.log {
		require.NotContains(w.t, byEdit, entry.version.Edit, "accepted twice")
		byEdit[entry.version.Edit] = entry.Revision
		byRevision[entry.Revision] = entry.version
	}
	for _, s := range w.edits {
		revision, inStore := byEdit[s.Edit]
		if accepted, isAccepted := s.result.(Accepted); isAccepted {
			require.Equal(w.t, revision, accepted.Revision, "%s was said to be accepted", s.Edit)
		} else if s.final() {
			require.False(w.t, inStore, "%s was answered %T and is accepted", s.Edit, s.result)
		}
	}
	for i, h := range w.hosts {
		w.checkHost(i, h, byRevision)
	}
}

func (w *world) checkHost(i int, h *host, accepted map[ident.Revision]Version) {
	versions := h.machine.Snapshot().Versions
	for team, before := range h.served {
		require.GreaterOrEqual(w.t, versions[team].Revision, before.Revision, "host %d went back", i)
	}
	for team, version := range versions {
		require.Equal(w.t, accepted[version.Revision], version, "host %d serves what was not accepted", i)
		h.served[team] = version
	}
	for revision, version := range accepted {
		if revision <= h.machine.Revision() {
			require.GreaterOrEqual(w.t, versions[version.Team].Revision, revision,
				"host %d reports %d as in force", i, h.machine.Revision())
		}
	}
}

// checkTogether replays the log: at no time did the accepted documents clash.
func (w *world) checkTogether() {
	docs := make(map[ident.TeamName]*document.Document)
	for _, entry := range w.kv.log {
		delete(docs, entry.version.Team)
		if entry.document != nil {
			docs[entry.version.Team] = entry.document
		}
		require.Empty(w.t, teamdoc.CheckTogether(docs, twoServers), "after revision %d", entry.Revision)
	}
}

// settle ends all faults. Time passes until every host serves what is stored.
func (w *world) settle() {
	const rounds = 400
	w.kv.down = false
	for range rounds {
		w.step++
		w.pass(time.Second)
		for len(w.pending) > 0 {
			w.deliver(0, false)
		}
		for i := range w.hosts {
			w.watchStep(i, 0)
			w.gossip(i, (i+1)%len(w.hosts))
		}
		w.check()
		if w.isSettled() {
			return
		}
	}
	require.Fail(w.t, "not settled", "%d pending, %+v", len(w.pending), w.hosts[0].machine.sync)
}

func (w *world) isSettled() bool {
	var last ident.Revision
	for _, entry := range w.kv.log {
		last = max(last, entry.Revision)
	}
	for _, h := range w.hosts {
		if h.machine.Revision() != last || len(h.machine.edits) > 0 {
			return false
		}
	}
	for _, s := range w.edits {
		if s.result == nil && w.hosts[s.host].life == s.life {
			return false
		}
	}
	return true
}

// Several hosts, operators who race, and every fault of the brief in any order:
// lost, late, doubled and reordered messages, answers lost after the write,
// lagging readers and peers, silent and gappy watches, outages, restarts. No host
// ever serves an older document again, no accepted edit is lost, no answer is
// untrue, and once the faults end all hosts serve the same.
func TestAcceptedEditsHoldEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4, func(label string, n int) int {
			return rapid.IntRange(0, n-1).Draw(t, label)
		})
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			w.act()
		}
		w.settle()
		w.checkTogether()
		for _, h := range w.hosts {
			require.Equal(t, w.hosts[0].machine.Snapshot().Versions, h.machine.Snapshot().Versions)
		}
	})
}

type registerState struct {
	revision ident.Revision
	deleted  bool
}

// editRegister is a document as operators see it: an edit is accepted exactly
// where its base is what stands there.
var editRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTeam := make(map[ident.TeamName][]porcupine.Operation)
		for _, operation := range history {
			team := operation.Input.(EditSubmitted).Team
			byTeam[team] = append(byTeam[team], operation)
		}
		var result [][]porcupine.Operation
		for _, part := range byTeam {
			result = append(result, part)
		}
		return result
	},
	Init: func() any {
		return registerState{}
	},
	Step: func(state, input, output any) (bool, any) {
		now, edit := state.(registerState), input.(EditSubmitted)
		fits := edit.Base == now.revision || (edit.Base == 0 && now.deleted)
		switch result := output.(type) {
		case Accepted:
			return fits && result.Revision > now.revision, registerState{
				revision: result.Revision,
				deleted:  edit.Delete,
			}
		case Conflict:
			// A host may answer from what it holds, so its word on what stands
			// there may be old, but never ahead.
			return result.Revision <= now.revision, now
		}
		return true, now
	},
}

// The same faults. What operators were told, in the order in which they asked and
// heard, could have come from one register that nobody else sees.
func TestEditsAreLinearizable(t *testing.T) {
	const runs = 150
	results := make(map[string]int)
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(t, 4, func(_ string, n int) int {
			return random.IntN(n)
		})
		for range 250 {
			w.act()
		}
		w.settle()
		w.checkTogether()
		var history []porcupine.Operation
		for i, s := range w.edits {
			operation := porcupine.Operation{
				ClientId: i,
				Input:    s.EditSubmitted,
				Output:   s.result,
				Call:     int64(s.called),
				Return:   int64(s.returned),
			}
			if !s.final() {
				operation.Return = math.MaxInt64
				operation.Output = w.truthOf(s.Edit)
			}
			history = append(history, operation)
			results[fmt.Sprintf("%T", s.result)]++
		}
		result := porcupine.CheckOperationsTimeout(editRegister, history, 20*time.Second)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
	t.Logf("seeds 0 to %d: %v", runs-1, results)
	for _, kind := range []EditResult{Accepted{}, Conflict{}, Refused{}, Unavailable{}, Unknown{}} {
		require.Greater(t, results[fmt.Sprintf("%T", kind)], runs/5, "%T must come up, or the runs show nothing of it", kind)
	}
}

// truthOf gives the store's word on an edit whose operator never heard.
func (w *world) truthOf(edit ident.EditID) EditResult {
	for _, entry := range w.kv.log {
		if entry.version.Edit == edit {
			return Accepted{
				Revision: entry.Revision,
			}
		}
	}
	return Unknown{}
}
