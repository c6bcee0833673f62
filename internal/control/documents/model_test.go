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

// randomStep makes one random event or fault happen.
func (sim *simulation) randomStep() {
	sim.stepCount++
	i := sim.pick("host", len(sim.hosts))
	switch sim.pick("act", 24) {
	case 0, 1:
		sim.submitRandom(i)
	case 2:
		if len(sim.edits) > 0 {
			sim.resubmit(sim.edits[sim.pick("edit", len(sim.edits))], i)
		}
	case 3:
		sim.kv.isDown = sim.pick("down", 3) == 0
	case 4:
		if sim.pick("restart", 3) == 0 {
			sim.restart(i)
		}
	case 5:
		sim.hosts[i].watch.isDead = true
	case 6:
		if sim.hosts[i].watch.id != 0 {
			sim.step(i, WatchEnded{
				Watch: sim.hosts[i].watch.id,
			})
		}
	case 7:
		if len(sim.pending) > 0 {
			sim.pending = append(sim.pending[:0:0], sim.pending[1:]...) // the oldest message is lost
		}
	case 8:
		sim.exchange(i, sim.pick("to", len(sim.hosts)))
	case 9:
		sim.sendPeerMessage(i, sim.pick("to", len(sim.hosts)), ident.Revision(sim.pick("since", 1+int(sim.kv.revision))))
	case 10:
		sim.deliverWatchBatch(i, sim.pick("skip", 2))
	case 11:
		sim.advance(time.Duration(sim.pick("pass", 3000)) * time.Millisecond)
	case 12:
		sim.deliverWatchBatch(i, 0)
	default:
		if len(sim.pending) > 0 {
			sim.deliver(sim.pick("message", len(sim.pending)), sim.pick("twice", 4) == 0)
		}
	}
	sim.checkInvariants()
}

func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for i := range sim.hosts {
		sim.step(i, Tick{})
	}
}

func (sim *simulation) submitRandom(i int) {
	team := []ident.TeamName{"a", "b", "c"}[sim.pick("team", 3)]
	name := "model-" + string(team)
	if sim.pick("shared", 6) == 0 {
		name = "shared"
	}
	event := EditSubmitted{
		Team:   team,
		Base:   sim.hosts[i].machine.revisionOf(team),
		Delete: sim.pick("delete", 5) == 0,
	}
	switch sim.pick("base", 6) {
	case 0:
		event.Base = 0
	case 1:
		event.Base = sim.kv.entries[Key(team)].Revision // read at another host
	}
	if !event.Delete {
		event.Text = documentText(team, name, []unit.Bytes{20, 60, 90}[sim.pick("memory", 3)], 1+sim.pick("replicas", 2))
	}
	sim.submit(i, event)
}

// checkInvariants checks what must hold after every step.
func (sim *simulation) checkInvariants() {
	byEdit := make(map[ident.EditID]ident.Revision)
	byRevision := make(map[ident.Revision]Version)
	for _, entry := range sim.kv.versions {
		require.NotContains(sim.t, byEdit, entry.version.Edit, "accepted twice")
		byEdit[entry.version.Edit] = entry.Revision
		byRevision[entry.Revision] = entry.version
	}
	for _, s := range sim.edits {
		revision, inStore := byEdit[s.Edit]
		if accepted, isAccepted := s.result.(Accepted); isAccepted {
			require.Equal(sim.t, revision, accepted.Revision, "%s was answered Accepted", s.Edit)
		} else if s.isFinal() {
			require.False(sim.t, inStore, "%s was answered %T and is accepted", s.Edit, s.result)
		}
	}
	for i, h := range sim.hosts {
		sim.checkHost(i, h, byRevision)
	}
}

func (sim *simulation) checkHost(i int, h *simulatedHost, accepted map[ident.Revision]Version) {
	versions := h.machine.Snapshot().Versions
	for team, before := range h.served {
		require.GreaterOrEqual(sim.t, versions[team].Revision, before.Revision, "host %d reverted to an older document", i)
	}
	for team, version := range versions {
		require.Equal(sim.t, accepted[version.Revision], version, "host %d serves a document that was not accepted", i)
		h.served[team] = version
	}
	for revision, version := range accepted {
		if revision <= h.machine.Revision() {
			require.GreaterOrEqual(sim.t, versions[version.Team].Revision, revision,
				"host %d reports %d as in force", i, h.machine.Revision())
		}
	}
}

// checkAcceptedTogether replays the accepted edits and checks that all documents
// fitted together after each of them.
func (sim *simulation) checkAcceptedTogether() {
	docs := make(map[ident.TeamName]*document.Document)
	for _, entry := range sim.kv.versions {
		delete(docs, entry.version.Team)
		if entry.document != nil {
			docs[entry.version.Team] = entry.document
		}
		require.Empty(sim.t, teamdoc.CheckAll(docs, twoServers), "after revision %d", entry.Revision)
	}
}

// settleAll ends all faults and lets time pass until every host serves what is stored.
func (sim *simulation) settleAll() {
	const rounds = 400
	sim.kv.isDown = false
	for range rounds {
		sim.stepCount++
		sim.advance(time.Second)
		for len(sim.pending) > 0 {
			sim.deliver(0, false)
		}
		for i := range sim.hosts {
			sim.deliverWatchBatch(i, 0)
			sim.exchange(i, (i+1)%len(sim.hosts))
		}
		sim.checkInvariants()
		if sim.hasSettled() {
			return
		}
	}
	require.Fail(sim.t, "not settled", "%d pending, %+v", len(sim.pending), sim.hosts[0].machine.sync)
}

func (sim *simulation) hasSettled() bool {
	var last ident.Revision
	for _, entry := range sim.kv.versions {
		last = max(last, entry.Revision)
	}
	for _, h := range sim.hosts {
		if h.machine.Revision() != last || len(h.machine.edits) > 0 {
			return false
		}
	}
	for _, s := range sim.edits {
		if s.result == nil && sim.hosts[s.host].incarnation == s.incarnation {
			return false
		}
	}
	return true
}

// Several hosts and racing operators, with faults in any order: lost, late,
// duplicated and reordered messages, answers lost after the write, lagging replicas
// and peers, silent watches and watches with gaps, outages, restarts. No host goes
// back to an older document, no accepted edit is lost, no result is wrong, and once
// the faults end all hosts serve the same documents.
func TestAcceptedEditsConvergeOnAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 4, func(label string, n int) int {
			return rapid.IntRange(0, n-1).Draw(t, label)
		})
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			sim.randomStep()
		}
		sim.settleAll()
		sim.checkAcceptedTogether()
		for _, h := range sim.hosts {
			require.Equal(t, sim.hosts[0].machine.Snapshot().Versions, h.machine.Snapshot().Versions)
		}
	})
}

type registerState struct {
	revision ident.Revision
	deleted  bool
}

// editRegister models a document as operators see it: an edit is accepted only if its
// base is the current revision.
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
			// A host may answer from the documents it knows, so the revision that it
			// returns may be old, but never newer than the current one.
			return result.Revision <= now.revision, now
		}
		return true, now
	},
}

// With the same faults, the results that operators got, in the order of their calls
// and returns, are linearizable: one register could have given them.
func TestEditsAreLinearizable(t *testing.T) {
	const runs = 150
	results := make(map[string]int)
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 7))
		sim := newSimulation(t, 4, func(_ string, n int) int {
			return random.IntN(n)
		})
		for range 250 {
			sim.randomStep()
		}
		sim.settleAll()
		sim.checkAcceptedTogether()
		var history []porcupine.Operation
		for i, s := range sim.edits {
			operation := porcupine.Operation{
				ClientId: i,
				Input:    s.EditSubmitted,
				Output:   s.result,
				Call:     int64(s.called),
				Return:   int64(s.returned),
			}
			if !s.isFinal() {
				operation.Return = math.MaxInt64
				operation.Output = sim.storedResult(s.Edit)
			}
			history = append(history, operation)
			results[fmt.Sprintf("%T", s.result)]++
		}
		result := porcupine.CheckOperationsTimeout(editRegister, history, 20*time.Second)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
	t.Logf("seeds 0 to %d: %v", runs-1, results)
	for _, kind := range []EditResult{Accepted{}, Conflict{}, Refused{}, Unavailable{}, Unknown{}} {
		require.Greater(t, results[fmt.Sprintf("%T", kind)], runs/5, "the runs must produce enough results of type %T to test it", kind)
	}
}

// storedResult returns an edit's result according to the store, for an operator who
// got no final one.
func (sim *simulation) storedResult(edit ident.EditID) EditResult {
	for _, entry := range sim.kv.versions {
		if entry.version.Edit == edit {
			return Accepted{
				Revision: entry.Revision,
			}
		}
	}
	return Unknown{}
}
