package orders

import (
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

// chaos drives a world by random actions and checks it after each.
type chaos struct {
	*rapid.T
	world   *world
	reports map[*fakeHost][]*backend.Report
	// armed has what was ready once and must stay so; excused has what a dead
	// server held since the last calm.
	armed    map[string]bool
	excused  map[string]bool
	restarts int
	tally    *tally
}

// tally counts over all runs what has really happened.
type tally struct {
	runs, steps, moves, restarts, terms, versions, ignoring, late, frozen int
}

func (e *fakeEngine) restart() {
	e.life++
	e.fencing = 0
	e.residents = nil
	e.working = nil
	e.settled = nil
	e.known = make(map[ident.OrderID]bool)
}

// What a user would see: out-of-memory crashes of engines, or "not resident"
// for a declared model. Any order of losses, delays, repeats, pauses, restarts
// and leader changes may lead there; this draws them at random.
func TestNoOvercommitAndNoModelLostUnderChaos(t *testing.T) {
	var total tally
	rapid.Check(t, func(rt *rapid.T) {
		c := newChaos(rt, &total)
		steps := rapid.IntRange(50, 300).Draw(rt, "steps")
		for range steps {
			c.act()
			c.check()
		}
		c.calm()
		total.runs++
		total.steps += steps
		total.moves += c.world.moves
		total.terms += int(c.world.term())
	})
	t.Logf("%+v", total)
}

func (w *world) term() ident.FencingNumber {
	fencing, err := decodeTerm(w.kv.entries[TermKey].Value)
	if err != nil {
		return 0
	}
	return fencing
}

func newChaos(rt *rapid.T, total *tally) *chaos {
	memory := unit.Bytes(rapid.SampledFrom([]int{75, 90, 120}).Draw(rt, "memory"))
	var engines []*fakeEngine
	for i := range rapid.IntRange(3, 4).Draw(rt, "engines") {
		checks := rapid.Bool().Draw(rt, "checks")
		engines = append(engines, newEngine(i, memory, checks))
		if !checks {
			total.ignoring++
		}
	}
	doc := &document.Document{}
	for i := range rapid.IntRange(1, 3).Draw(rt, "models") {
		model := declare(ident.ModelName(fmt.Sprintf("m%d", i)), "1", 0, rapid.IntRange(1, 2).Draw(rt, "replicas"))
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
		T:       rt,
		world:   newWorld(rapid.IntRange(2, 3).Draw(rt, "hosts"), doc, engines...),
		reports: make(map[*fakeHost][]*backend.Report),
		armed:   make(map[string]bool),
		excused: make(map[string]bool),
		tally:   total,
	}
	if rapid.Bool().Draw(rt, "mortal") {
		c.restarts = 3
	}
	for _, h := range c.world.hosts {
		h.slowClock = rapid.Bool().Draw(rt, "slowClock")
	}
	if rapid.Bool().Draw(rt, "warm") {
		c.calm()
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

// act draws one action; the common ones stand more often.
func (c *chaos) act() {
	actions := []func(){
		c.time, c.time, c.serve, c.serve, c.serve, c.serve, c.serve, c.arrive, c.arrive, c.arrive,
		c.work, c.work, c.work, c.reportNow, c.reportNow, c.reportNow, c.reportLate, c.repeat, c.lose, c.restart,
		c.freeze, c.wake, c.lapse, c.landLate, c.declareVersion, c.leave, c.demand, c.pass, c.vanish,
		c.hint,
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(c.T, "action")]()
}

func (c *chaos) time() {
	w := c.world
	w.now = w.now.Add(time.Duration(rapid.IntRange(100, 2500).Draw(c.T, "ms")) * time.Millisecond)
	for _, h := range w.hosts {
		if h.lease != 0 && w.kv.leases[h.lease] && !h.frozen {
			w.keep(h)
		}
		w.tell(h, Tick{})
	}
}

func (c *chaos) serve() {
	h, _ := pick(c, c.world.hosts)
	if h.frozen {
		return
	}
	f := fault(max(0, rapid.IntRange(-10, int(faults)-1).Draw(c.T, "fault")))
	if f == faultLate {
		c.tally.late++
	}
	c.world.serve(h, f)
}

func (c *chaos) arrive() {
	if len(c.world.flights) > 0 {
		c.world.deliver(rapid.IntRange(0, len(c.world.flights)-1).Draw(c.T, "flight"), false)
	}
}

func (c *chaos) repeat() {
	if len(c.world.flights) > 0 {
		c.world.deliver(rapid.IntRange(0, len(c.world.flights)-1).Draw(c.T, "flight"), true)
	}
}

func (c *chaos) lose() {
	if len(c.world.flights) > 0 {
		c.world.flights = c.world.flights[1:]
	}
}

// hint gives a host a word on the leadership that is right or wrong as it falls.
func (c *chaos) hint() {
	h, _ := pick(c, c.world.hosts)
	hosts := rapid.IntRange(0, 20).Draw(c.T, "order")
	c.world.tell(h, LeaderWord{
		Host:    rapid.SampledFrom([]ident.HostID{"", "entry-0", "entry-1", "entry-9"}).Draw(c.T, "named"),
		Fencing: ident.FencingNumber(rapid.IntRange(0, 12).Draw(c.T, "fencing")),
		Rank:    rapid.IntRange(0, max(0, hosts-1)).Draw(c.T, "rank"),
		Hosts:   hosts,
	})
}

func (c *chaos) work() {
	e, _ := pick(c, c.world.engines)
	if len(e.working) > 0 {
		e.finish(rapid.IntRange(0, len(e.working)-1).Draw(c.T, "order"), rapid.IntRange(0, 9).Draw(c.T, "fails") == 0)
	}
}

func (c *chaos) reportNow() {
	e, _ := pick(c, c.world.engines)
	if e.silent {
		return
	}
	report := e.report()
	for _, h := range c.world.hosts {
		if rapid.IntRange(0, 3).Draw(c.T, "delayed") == 0 {
			c.reports[h] = append(c.reports[h], report)
			continue
		}
		c.world.report(h, report)
	}
}

func (c *chaos) reportLate() {
	h, _ := pick(c, c.world.hosts)
	if report, found := pick(c, c.reports[h]); found {
		c.world.report(h, report)
	}
}

func (c *chaos) restart() {
	if c.restarts == 0 {
		return
	}
	c.restarts--
	c.tally.restarts++
	e, _ := pick(c, c.world.engines)
	for i := range e.residents {
		c.excused[thing(&e.residents[i])] = true
	}
	e.restart()
}

func (c *chaos) freeze() {
	h, _ := pick(c, c.world.hosts)
	h.frozen = true
	c.tally.frozen++
}

func (c *chaos) wake() {
	h, _ := pick(c, c.world.hosts)
	h.frozen = false
}

// lapse ends a lease in the service; its holder learns it late or, with a slow
// clock, only by what the service answers.
func (c *chaos) lapse() {
	h, _ := pick(c, c.world.hosts)
	c.world.kv.lapse(h.lease)
}

func (c *chaos) landLate() {
	if len(c.world.late) > 0 {
		c.world.kv.swap(c.world.late[0])
		c.world.late = c.world.late[1:]
	}
}

// declareVersion lets one model and its adapters have another version. Hosts
// hear of it at different times.
func (c *chaos) declareVersion() {
	w := c.world
	doc := *w.doc
	doc.Models = append([]document.Model(nil), doc.Models...)
	model := &doc.Models[rapid.IntRange(0, len(doc.Models)-1).Draw(c.T, "model")]
	model.Version = ident.Version(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(c.T, "version"))
	model.Adapters = append([]document.Adapter(nil), model.Adapters...)
	for i := range model.Adapters {
		model.Adapters[i].Version = ident.Version(rapid.SampledFrom([]string{"1", "2"}).Draw(c.T, "adapter"))
	}
	w.doc = &doc
	w.docsAt++
	c.tally.versions++
	for _, h := range w.hosts {
		if rapid.IntRange(0, 2).Draw(c.T, "hears") > 0 {
			w.tell(h, Documents{
				Documents: []*document.Document{w.doc},
				Revision:  w.docsAt,
			})
		}
	}
}

func (c *chaos) leave() {
	e, _ := pick(c, c.world.engines)
	e.leaving = !e.leaving
	if rapid.Bool().Draw(c.T, "listed") {
		e.info.State = backend.StateLive
		if e.leaving {
			e.info.State = backend.StateLeaving
		}
	}
	for _, h := range c.world.hosts {
		c.world.tell(h, Servers{
			Servers: c.world.servers(),
		})
	}
}

// vanish lets an engine go from the list, or its reports stop, while it lives.
func (c *chaos) vanish() {
	e, _ := pick(c, c.world.engines)
	e.silent = rapid.Bool().Draw(c.T, "silent")
	e.unlisted = rapid.Bool().Draw(c.T, "unlisted")
	for _, h := range c.world.hosts {
		c.world.tell(h, Servers{
			Servers: c.world.servers(),
		})
	}
}

func (c *chaos) demand() {
	model, _ := pick(c, c.world.doc.Models)
	engine, _ := pick(c, c.world.engines)
	for _, h := range c.world.hosts {
		c.world.tell(h, Demand{
			Rates: []DemandRate{{
				Model:      model.Name,
				DataCentre: engine.info.DataCentre,
				PerSecond:  float64(rapid.IntRange(0, 60).Draw(c.T, "rate")),
			}},
		})
	}
}

// pass lets all work well for half a second.
func (c *chaos) pass() {
	c.world.pass()
}

// calm stops all faults until every declared model is in place again.
func (c *chaos) calm() {
	w := c.world
	for len(w.late) > 0 {
		c.landLate()
	}
	for _, e := range w.engines {
		e.leaving = false
		e.silent = false
		e.unlisted = false
		e.info.State = backend.StateLive
	}
	for _, h := range w.hosts {
		h.frozen = false
	}
	w.tellAll()
	for range 240 {
		w.pass()
		c.check()
	}
	clear(c.excused)
	ready := c.ready()
	c.settled()
	for _, model := range w.doc.Models {
		require.True(c.T, ready[string(model.Name)+"/"], "model %s is not ready when all is calm: %s", model.Name, w)
		for _, adapter := range model.Adapters {
			require.True(c.T, ready[string(model.Name)+"/"+string(adapter.Name)], "adapter %s is not ready when all is calm: %s", adapter.Name, w)
		}
	}
	c.check()
}

// settled asks that no order is left over and that versions are changed
// wherever the leader does not say that they are blocked.
func (c *chaos) settled() {
	leader := c.world.leader()
	require.NotNil(c.T, leader, "nobody leads when all is calm: %s", c.world)
	state := leader.machine.State(c.world.now)
	require.Empty(c.T, state.Doubts, "orders in doubt when all is calm: %s", c.world)
	if len(state.Blocked) > 0 {
		return
	}
	for _, model := range state.Models {
		require.GreaterOrEqual(c.T, model.Ready, model.Want, "%s: %s", model.Model, c.world)
		require.Zero(c.T, model.ReadyOther, "%s: %s", model.Model, c.world)
	}
}

func thing(resident *backend.Resident) string {
	return string(resident.Model) + "/" + string(resident.Adapter)
}

// ready lists models, and adapters beside their ready models, of any version.
func (c *chaos) ready() map[string]bool {
	ready := make(map[string]bool)
	for _, e := range c.world.engines {
		bases := make(map[ident.ModelName]bool)
		for i := range e.residents {
			if e.residents[i].Adapter == "" && e.residents[i].Ready {
				bases[e.residents[i].Model] = true
			}
		}
		for i := range e.residents {
			if e.residents[i].Ready && bases[e.residents[i].Model] {
				ready[thing(&e.residents[i])] = true
			}
		}
	}
	return ready
}

func (c *chaos) check() {
	for _, e := range c.world.engines {
		var taken unit.Bytes
		for i := range e.residents {
			taken += e.residents[i].Memory
		}
		require.LessOrEqual(c.T, taken, e.memory, "%s is overcommitted", e.info.Name)
		require.Empty(c.T, e.crossed, "%s got an order for weights that another is at work on", e.info.Name)
		require.Empty(c.T, e.doubled, "%s got a second load of weights that are there", e.info.Name)
	}
	ready := c.ready()
	for name := range c.armed {
		require.True(c.T, ready[name] || c.excused[name], "%s was ready and is nowhere ready now: %s", name, c.world)
	}
	for name := range ready {
		c.armed[name] = true
	}
	for name := range c.excused {
		delete(c.armed, name)
	}
}
