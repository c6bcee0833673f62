package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/cespare/xxhash/v2"
)

// Machine is the state machine of the claims. Make it with New. It belongs to
// one goroutine.
type Machine struct {
	options    Options
	partitions []*partition
	// homes has the home of each partition; none while no host is known.
	homes  []ident.HostID
	tasks  map[taskID]*task
	timers timers
	// granted has the attempts that were granted here until they are known to be
	// finished or released, so that a claim that comes twice isn't granted twice.
	granted map[ident.AttemptID]time.Time
	// silent has the homes that didn't answer, and until when they aren't asked.
	silent   map[ident.HostID]time.Time
	stopping bool

	now      time.Time
	step     uint64
	commands []Command
}

// New returns the machine of one host, which knows no other host yet.
func New(options Options) *Machine {
	m := &Machine{
		options: options.withDefaults(),
		tasks:   make(map[taskID]*task),
		granted: make(map[ident.AttemptID]time.Time),
		silent:  make(map[ident.HostID]time.Time),
	}
	for index := range m.options.Partitions {
		m.partitions = append(m.partitions, newPartition(index))
	}
	return m
}

// Step takes one event and gives what is to be done about it.
func (m *Machine) Step(now time.Time, event Event) []Command {
	m.now = now
	m.step++
	m.commands = nil
	switch event := event.(type) {
	case Claim:
		m.onClaim(event)
	case Finish:
		m.onFinish(event)
	case Release:
		m.onRelease(event)
	case Homes:
		m.onHomes(event)
	case PageRead:
		m.onPageRead(event)
	case SwapAnswered:
		m.onSwapAnswered(event)
	case ClaimForwarded:
		m.onClaimForwarded(event)
	case NoteForwarded:
		m.onNoteForwarded(event)
	case Stopping:
		m.onStopping()
	case Resumed:
		m.stopping = false
	}
	m.fireTimers()
	return m.commands
}

func (m *Machine) emit(command Command) {
	m.commands = append(m.commands, command)
}

func (m *Machine) partitionOf(key keyID) *partition {
	hash := xxhash.Sum64String(string(key.team) + "\x00" + string(key.key))
	return m.partitions[hash%uint64(len(m.partitions))]
}

func (m *Machine) onClaim(c Claim) {
	t := claimTask(c, m.step, m.now)
	if _, waiting := m.tasks[t.id()]; waiting {
		return
	}
	if reason := m.invalid(c); reason != "" {
		m.refuse(t, reason, time.Time{})
		return
	}
	if _, before := m.granted[c.Attempt]; before && t.local() {
		// A grant is given once for each attempt, whoever asks again: the
		// log alone can't tell the second asking from the first.
		m.answer(t, Answer{
			Verdict: ClaimedByOther,
			Reason:  "this attempt was granted before",
		})
		return
	}
	m.tasks[t.id()] = t
	m.wakeTask(t, t.deadline)
	m.submit(t)
}

func (m *Machine) invalid(c Claim) string {
	switch {
	case c.Key == "" || c.Attempt == "":
		return "a claim needs a key and an attempt"
	case len(c.Key) > maxName || len(c.Team) > maxName || len(c.Attempt) > maxName:
		return "the idempotency key is too long"
	case !m.now.Before(c.Deadline):
		return "the deadline has passed"
	case !c.KeepUntil.After(c.Deadline.Add(m.options.ClockMargin)):
		return "the key would be forgotten too soon after the deadline"
	}
	return ""
}

func (m *Machine) onFinish(f Finish) {
	m.note(finishTask(f, m.step, m.now))
}

func (m *Machine) onRelease(r Release) {
	t := releaseTask(r, m.step, m.now)
	if t.local() && !r.Outcome.IsNotRun() {
		m.recorded(t, false)
		return
	}
	m.note(t)
}

// note takes a finish or release in hand.
func (m *Machine) note(t *task) {
	if _, waiting := m.tasks[t.id()]; waiting {
		return
	}
	if t.key.key == "" || t.attempt == "" || len(t.key.key) > maxName || len(t.attempt) > maxName {
		m.recorded(t, false)
		return
	}
	m.tasks[t.id()] = t
	m.submit(t)
}

// submit sends a task to the home of its partition, or queues it here.
func (m *Machine) submit(t *task) {
	home := m.homeOf(m.partitionOf(t.key))
	elsewhere := home != "" && home != m.options.Host
	if t.local() && elsewhere && !m.now.Before(m.silent[home]) {
		m.forward(t, home)
		return
	}
	m.enqueue(t)
}

func (m *Machine) onStopping() {
	m.stopping = true
	for _, p := range m.partitions {
		m.advance(p)
	}
}

// Idle tells that nothing is under way, so that a host that stops may go.
func (m *Machine) Idle() bool {
	return len(m.tasks) == 0
}

func (m *Machine) enqueue(t *task) {
	p := m.partitionOf(t.key)
	if t.kind == kindClaim && m.now.Before(p.downUntil) {
		m.refuse(t, p.downReason, p.downUntil)
		return
	}
	if len(p.queue) >= m.queueBound(t.kind) {
		m.overflow(t)
		return
	}
	t.phase = phaseQueued
	p.queue = append(p.queue, t)
	m.advance(p)
}

// queueBound leaves room for finishes where claims are refused already.
func (m *Machine) queueBound(kind entryKind) int {
	if kind == kindClaim {
		return m.options.MaxQueue
	}
	return 2 * m.options.MaxQueue
}

func (m *Machine) overflow(t *task) {
	if t.kind == kindClaim {
		m.refuse(t, "too many claims are waiting", m.now.Add(m.options.Backoff))
		return
	}
	m.recorded(t, false)
}

// taskDue looks at a task of which a deadline has come.
func (m *Machine) taskDue(id taskID) {
	t := m.tasks[id]
	if t == nil {
		if keep, granted := m.granted[id.attempt]; granted && !m.now.Before(keep) {
			delete(m.granted, id.attempt)
		}
		return
	}
	switch {
	case t.phase == phaseWatching && !m.now.Before(t.until):
		m.claimedByOther(t)
	case t.kind == kindClaim && !m.now.Before(t.deadline):
		m.refuse(t, "the deadline passed before the claim was written", time.Time{})
	case t.phase == phaseWatching:
		m.lookAgain(t)
	case t.phase == phaseForwarded && !m.now.Before(t.until):
		m.takeBack(t)
	}
}
