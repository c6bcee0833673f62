package orders

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// chaos drives a simulation by random actions and checks it after each.
type chaos struct {
	*rapid.T
	sim            *simulation
	delayedReports map[*fakeHost][]*backend.Report
	// mustBeReady has what was ready once and must stay ready; mayBeLost has what a
	// restarted server held since the last settle.
	mustBeReady  map[string]bool
	mayBeLost    map[string]bool
	restartsLeft int
	totals       *runTotals
}

// runTotals counts what happened in all runs.
type runTotals struct {
	runs, steps, moves, restarts, terms, versions, enginesIgnoringFencing, lateSwaps, freezes int
}

func (e *fakeEngine) restart() {
	e.restarts++
	e.fencing = 0
	e.residents = nil
	e.inProgress = nil
	e.settled = nil
	e.receivedOrders = make(map[ident.OrderID]bool)
}

// A violation would show to users as out-of-memory crashes of engines, or as "not
// resident" for a declared model. Any sequence of losses, delays, repeats, pauses,
// restarts and leader changes may lead to it; this test draws them at random.
func TestNoOvercommitAndNoModelLostUnderChaos(t *testing.T) {
	var total runTotals
	rapid.Check(t, total.runChaos)
	t.Logf("%+v", total)
}

// Guards against an order that stays in doubt for good at a server that has restarted.
func TestOrderInDoubtIsSettledOnceAllIsCalm(t *testing.T) {
	setFlag(t, "rapid.seed", "13790040628613766521")
	setFlag(t, "rapid.shrinktime", "0s")
	setFlag(t, "rapid.nofailfile", "true")
	var total runTotals
	rapid.Check(t, total.runChaos)
}

// setFlag sets a flag until the test ends.
func setFlag(t *testing.T, name, value string) {
	before := flag.Lookup(name).Value.String()
	require.NoError(t, flag.Set(name, value))
	t.Cleanup(func() { require.NoError(t, flag.Set(name, before)) })
}

// runChaos draws one run, and checks that all is well after each step and once all is calm.
func (total *runTotals) runChaos(rt *rapid.T) {
	c := newChaos(rt, total)
	steps := rapid.IntRange(50, 300).Draw(rt, "steps")
	for range steps {
		c.runRandomAction()
		c.checkInvariants()
	}
	c.settle()
	total.runs++
	total.steps += steps
	total.moves += c.sim.moves
	total.terms += int(c.sim.fencing())
}

func (sim *simulation) fencing() ident.FencingNumber {
	fencing, err := decodeTerm(sim.kv.entries[TermKey].Value)
	if err != nil {
		return 0
	}
	return fencing
}

func newChaos(rt *rapid.T, totals *runTotals) *chaos {
	memory := unit.Bytes(rapid.SampledFrom([]int{75, 90, 120}).Draw(rt, "memory"))
	var engines []*fakeEngine
	for i := range rapid.IntRange(3, 4).Draw(rt, "engines") {
		checks := rapid.Bool().Draw(rt, "checks")
		engines = append(engines, newEngine(i, memory, checks))
		if !checks {
			totals.enginesIgnoringFencing++
		}
	}
	doc := &document.Document{}
	for i := range rapid.IntRange(1, 3).Draw(rt, "models") {
		model := newModel(ident.ModelName(fmt.Sprintf("m%d", i)), "1", 0, rapid.IntRange(1, 2).Draw(rt, "replicas"))
		model.Memory = unit.Bytes(rapid.SampledFrom([]int{10, 20, 30}).Draw(rt, "size"))
		model.MaxReplicas = model.Replicas + rapid.IntRange(0, 2).Draw(rt, "more")
		for j := range rapid.IntRange(0, 2).Draw(rt, "adapters") {
			model.Adapters = append(model.Adapters, document.Adapter{
				Name:    ident.AdapterName(fmt.Sprintf("a%d-%d", i, j)),
				Version: "1",
				Memory:  3,
			})
		}
		doc.Models = append(doc.Models, model)
	}
	c := &chaos{
		T:              rt,
		sim:            newSimulation(rapid.IntRange(2, 3).Draw(rt, "hosts"), doc, engines...),
		delayedReports: make(map[*fakeHost][]*backend.Report),
		mustBeReady:    make(map[string]bool),
		mayBeLost:      make(map[string]bool),
		totals:         totals,
	}
	if rapid.Bool().Draw(rt, "mortal") {
		c.restartsLeft = 3
	}
	for _, h := range c.sim.hosts {
		h.trustsLease = rapid.Bool().Draw(rt, "slowClock")
	}
	if rapid.Bool().Draw(rt, "warm") {
		c.settle()
	}
	return c
}

func pick[E any](c *chaos, from []E) (E, bool) {
	var none E
	if len(from) == 0 {
		return none, false
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(c.T, "pick")], true
}

// runRandomAction draws one action; the common ones are listed more than once.
func (c *chaos) runRandomAction() {
	actions := []func(){
		c.time, c.time, c.executeCommand, c.executeCommand, c.executeCommand, c.executeCommand, c.executeCommand, c.deliverOrder, c.deliverOrder, c.deliverOrder,
		c.finishOrder, c.finishOrder, c.finishOrder, c.sendReport, c.sendReport, c.sendReport, c.sendDelayedReport, c.deliverCopy, c.loseOrder, c.restartEngine,
		c.freezeHost, c.wakeHost, c.expireLease, c.applyLateSwap, c.changeVersion, c.toggleLeaving, c.sendDemand, c.runPass, c.hideEngine,
		c.sendHint,
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(c.T, "action")]()
}

func (c *chaos) time() {
	sim := c.sim
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(100, 2500).Draw(c.T, "ms")) * time.Millisecond)
	for _, h := range sim.hosts {
		if h.lease != 0 && sim.kv.leases[h.lease] && !h.frozen {
			sim.renewLease(h)
		}
		sim.sendEvent(h, Tick{})
	}
}

func (c *chaos) executeCommand() {
	h, _ := pick(c, c.sim.hosts)
	if h.frozen {
		return
	}
	f := fault(max(0, rapid.IntRange(-10, int(faultCount)-1).Draw(c.T, "fault")))
	if f == faultWrittenLate {
		c.totals.lateSwaps++
	}
	c.sim.executeNext(h, f)
}

func (c *chaos) deliverOrder() {
	if len(c.sim.inFlight) > 0 {
		c.sim.deliverOrder(rapid.IntRange(0, len(c.sim.inFlight)-1).Draw(c.T, "flight"), false)
	}
}

func (c *chaos) deliverCopy() {
	if len(c.sim.inFlight) > 0 {
		c.sim.deliverOrder(rapid.IntRange(0, len(c.sim.inFlight)-1).Draw(c.T, "flight"), true)
	}
}

func (c *chaos) loseOrder() {
	if len(c.sim.inFlight) > 0 {
		c.sim.inFlight = c.sim.inFlight[1:]
	}
}

// sendHint gives a host a random leader hint, which may be right or wrong.
func (c *chaos) sendHint() {
	h, _ := pick(c, c.sim.hosts)
	hosts := rapid.IntRange(0, 20).Draw(c.T, "order")
	c.sim.sendEvent(h, LeaderHint{
		Host:    rapid.SampledFrom([]ident.HostID{"", "entry-0", "entry-1", "entry-9"}).Draw(c.T, "named"),
		Fencing: ident.FencingNumber(rapid.IntRange(0, 12).Draw(c.T, "fencing")),
		Rank:    rapid.IntRange(0, max(0, hosts-1)).Draw(c.T, "rank"),
		Hosts:   hosts,
	})
}

func (c *chaos) finishOrder() {
	e, _ := pick(c, c.sim.engines)
	if len(e.inProgress) > 0 {
		e.finishOrder(rapid.IntRange(0, len(e.inProgress)-1).Draw(c.T, "order"), rapid.IntRange(0, 9).Draw(c.T, "fails") == 0)
	}
}

func (c *chaos) sendReport() {
	e, _ := pick(c, c.sim.engines)
	if e.reportsStopped {
		return
	}
	report := e.report()
	for _, h := range c.sim.hosts {
		if rapid.IntRange(0, 3).Draw(c.T, "delayed") == 0 {
			c.delayedReports[h] = append(c.delayedReports[h], report)
			continue
		}
		c.sim.sendReport(h, report)
	}
}

func (c *chaos) sendDelayedReport() {
	h, _ := pick(c, c.sim.hosts)
	if report, found := pick(c, c.delayedReports[h]); found {
		c.sim.sendReport(h, report)
	}
}

func (c *chaos) restartEngine() {
	if c.restartsLeft == 0 {
		return
	}
	c.restartsLeft--
	c.totals.restarts++
	e, _ := pick(c, c.sim.engines)
	for i := range e.residents {
		c.mayBeLost[residentName(&e.residents[i])] = true
	}
	e.restart()
}

func (c *chaos) freezeHost() {
	h, _ := pick(c, c.sim.hosts)
	h.frozen = true
	c.totals.freezes++
}

func (c *chaos) wakeHost() {
	h, _ := pick(c, c.sim.hosts)
	h.frozen = false
}

// expireLease ends a lease in the service. Its owner learns of that later or, if it
// trusts its lease, only from the service's answers.
func (c *chaos) expireLease() {
	h, _ := pick(c, c.sim.hosts)
	c.sim.kv.expireLease(h.lease)
}

func (c *chaos) applyLateSwap() {
	if len(c.sim.lateSwaps) > 0 {
		c.sim.kv.swap(c.sim.lateSwaps[0])
		c.sim.lateSwaps = c.sim.lateSwaps[1:]
	}
}

// changeVersion declares other versions of one model and its adapters. Each host may
// receive the change now or with a later one.
func (c *chaos) changeVersion() {
	sim := c.sim
	doc := *sim.doc
	doc.Models = append([]document.Model(nil), doc.Models...)
	model := &doc.Models[rapid.IntRange(0, len(doc.Models)-1).Draw(c.T, "model")]
	model.Version = ident.Version(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(c.T, "version"))
	model.Adapters = append([]document.Adapter(nil), model.Adapters...)
	for i := range model.Adapters {
		model.Adapters[i].Version = ident.Version(rapid.SampledFrom([]string{"1", "2"}).Draw(c.T, "adapter"))
	}
	sim.doc = &doc
	sim.documentsRevision++
	c.totals.versions++
	for _, h := range sim.hosts {
		if rapid.IntRange(0, 2).Draw(c.T, "hears") > 0 {
			sim.sendEvent(h, Documents{
				Documents: []*document.Document{sim.doc},
				Revision:  sim.documentsRevision,
			})
		}
	}
}

func (c *chaos) toggleLeaving() {
	e, _ := pick(c, c.sim.engines)
	e.leaving = !e.leaving
	if rapid.Bool().Draw(c.T, "listed") {
		e.info.State = backend.StateLive
		if e.leaving {
			e.info.State = backend.StateLeaving
		}
	}
	for _, h := range c.sim.hosts {
		c.sim.sendEvent(h, Servers{
			Servers: c.sim.servers(),
		})
	}
}

// hideEngine may remove an engine from the list, stop its reports, or undo both,
// while the engine keeps running.
func (c *chaos) hideEngine() {
	e, _ := pick(c, c.sim.engines)
	e.reportsStopped = rapid.Bool().Draw(c.T, "silent")
	e.unlisted = rapid.Bool().Draw(c.T, "unlisted")
	for _, h := range c.sim.hosts {
		c.sim.sendEvent(h, Servers{
			Servers: c.sim.servers(),
		})
	}
}

func (c *chaos) sendDemand() {
	model, _ := pick(c, c.sim.doc.Models)
	engine, _ := pick(c, c.sim.engines)
	for _, h := range c.sim.hosts {
		c.sim.sendEvent(h, Demand{
			Rates: []DemandRate{{
				Model:      model.Name,
				DataCentre: engine.info.DataCentre,
				PerSecond:  float64(rapid.IntRange(0, 60).Draw(c.T, "rate")),
			}},
		})
	}
}

// runPass runs half a second without faults.
func (c *chaos) runPass() {
	c.sim.runPass()
}

// settle stops all faults and runs until every declared model is in place again.
func (c *chaos) settle() {
	sim := c.sim
	for len(sim.lateSwaps) > 0 {
		c.applyLateSwap()
	}
	for _, e := range sim.engines {
		e.leaving = false
		e.reportsStopped = false
		e.unlisted = false
		e.info.State = backend.StateLive
	}
	for _, h := range sim.hosts {
		h.frozen = false
	}
	sim.sendServersAndDocuments()
	for range 240 {
		sim.runPass()
		c.checkInvariants()
	}
	clear(c.mayBeLost)
	ready := c.readyNames()
	c.requireSettled()
	for _, model := range sim.doc.Models {
		require.True(c.T, ready[string(model.Name)+"/"], "model %s is not ready when all is calm: %s", model.Name, sim)
		for _, adapter := range model.Adapters {
			require.True(c.T, ready[string(model.Name)+"/"+string(adapter.Name)], "adapter %s is not ready when all is calm: %s", adapter.Name, sim)
		}
	}
	c.checkInvariants()
}

// requireSettled requires that no order is in doubt, and that all versions are
// changed unless the leader reports blocked changes.
func (c *chaos) requireSettled() {
	leader := c.sim.leader()
	require.NotNil(c.T, leader, "nobody leads when all is calm: %s", c.sim)
	state := leader.machine.State(c.sim.now)
	require.Empty(c.T, state.Doubts, "orders in doubt when all is calm: %s", c.sim)
	if len(state.Blocked) > 0 {
		return
	}
	for _, model := range state.Models {
		require.GreaterOrEqual(c.T, model.Ready, model.Want, "%s: %s", model.Model, c.sim)
		require.Zero(c.T, model.ReadyOther, "%s: %s", model.Model, c.sim)
	}
}

func residentName(resident *backend.Resident) string {
	return string(resident.Model) + "/" + string(resident.Adapter)
}

// readyNames lists ready models, and ready adapters on servers on which their model
// is ready, of any version.
func (c *chaos) readyNames() map[string]bool {
	ready := make(map[string]bool)
	for _, e := range c.sim.engines {
		bases := make(map[ident.ModelName]bool)
		for i := range e.residents {
			if e.residents[i].Adapter == "" && e.residents[i].Ready {
				bases[e.residents[i].Model] = true
			}
		}
		for i := range e.residents {
			if e.residents[i].Ready && bases[e.residents[i].Model] {
				ready[residentName(&e.residents[i])] = true
			}
		}
	}
	return ready
}

func (c *chaos) checkInvariants() {
	for _, e := range c.sim.engines {
		var taken unit.Bytes
		for i := range e.residents {
			taken += e.residents[i].Memory
		}
		require.LessOrEqual(c.T, taken, e.memory, "%s is overcommitted", e.info.Name)
		require.Empty(c.T, e.conflictingOrders, "%s got an order for weights that another is at work on", e.info.Name)
		require.Empty(c.T, e.duplicateLoads, "%s got a second load of weights that are there", e.info.Name)
	}
	ready := c.readyNames()
	for name := range c.mustBeReady {
		require.True(c.T, ready[name] || c.mayBeLost[name], "%s was ready and is nowhere ready now: %s", name, c.sim)
	}
	for name := range ready {
		c.mustBeReady[name] = true
	}
	for name := range c.mayBeLost {
		delete(c.mustBeReady, name)
	}
}
