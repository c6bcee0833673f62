package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/cespare/xxhash/v2"
)

// Machine is the state machine of the claims at one host. Make it with New. It has no
// locks and starts no goroutines: all calls must come from one goroutine.
type Machine struct {
	options    Options
	partitions []*partition
	// owners has the owner of each partition; empty while no live host is known.
	owners []ident.HostID
	tasks  map[taskID]*task
	timers timerHeap
	// grantedUntil has the KeepUntil of the attempts granted here, until they are
	// recorded as finished or released. It keeps a claim that is submitted twice from
	// being granted twice.
	grantedUntil map[ident.AttemptID]time.Time
	// unresponsiveUntil has the owners that did not answer, and until when no task is
	// forwarded to them.
	unresponsiveUntil map[ident.HostID]time.Time
	stopping          bool

	now time.Time
	// step counts the events. It shows whether the log was read before or after a
	// task arrived.
	step     uint64
	commands []Command
}

// New returns the machine of one host, which does not know any live host yet.
func New(options Options) *Machine {
	m := &Machine{
		options:           options.withDefaults(),
		tasks:             make(map[taskID]*task),
		grantedUntil:      make(map[ident.AttemptID]time.Time),
		unresponsiveUntil: make(map[ident.HostID]time.Time),
	}
	for index := range m.options.Partitions {
		m.partitions = append(m.partitions, newPartition(index))
	}
	return m
}

// Step handles one event and returns the commands to carry out.
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
	case LiveHosts:
		m.onLiveHosts(event)
	case PageRead:
		m.onPageRead(event)
	case SwapAnswered:
		m.onSwapAnswered(event)
	case ClaimForwarded:
		m.onClaimForwarded(event)
	case UpdateForwarded:
		m.onUpdateForwarded(event)
	case Stopping:
		m.onStopping()
	case Resumed:
		m.stopping = false
	}
	m.runDueTimers()
	return m.commands
}

func (m *Machine) emit(command Command) {
	m.commands = append(m.commands, command)
}

func (m *Machine) partitionFor(key keyID) *partition {
	hash := xxhash.Sum64String(string(key.team) + "\x00" + string(key.key))
	return m.partitions[hash%uint64(len(m.partitions))]
}

func (m *Machine) onClaim(c Claim) {
	t := newClaimTask(c, m.step, m.now)
	if _, isWaiting := m.tasks[t.id()]; isWaiting {
		return
	}
	if reason := m.checkClaim(c); reason != "" {
		m.refuse(t, reason, time.Time{})
		return
	}
	if _, wasGranted := m.grantedUntil[c.Attempt]; wasGranted && t.isLocal() {
		// An attempt is granted once, however often it is submitted: the log
		// alone can't distinguish a second submission from the first.
		m.answerClaim(t, Answer{
			Verdict: ClaimedByOther,
			Reason:  "this attempt was granted before",
		})
		return
	}
	m.tasks[t.id()] = t
	m.wakeTask(t, t.deadline)
	m.submit(t)
}

// checkClaim returns the reason why a claim is invalid, empty where it is valid.
func (m *Machine) checkClaim(c Claim) string {
	switch {
	case c.Key == "" || c.Attempt == "":
		return "a claim needs a key and an attempt"
	case len(c.Key) > maxNameSize || len(c.Team) > maxNameSize || len(c.Attempt) > maxNameSize:
		return "the idempotency key is too long"
	case !m.now.Before(c.Deadline):
		return "the deadline has passed"
	case !c.KeepUntil.After(c.Deadline.Add(m.options.ClockMargin)):
		return "the key would be forgotten too soon after the deadline"
	}
	return ""
}

func (m *Machine) onFinish(f Finish) {
	m.submitUpdate(newFinishTask(f, m.step, m.now))
}

func (m *Machine) onRelease(r Release) {
	t := newReleaseTask(r, m.step, m.now)
	if t.isLocal() && !r.Outcome.IsNotRun() {
		m.answerUpdate(t, false)
		return
	}
	m.submitUpdate(t)
}

// submitUpdate accepts an update, that is a finish or a release.
func (m *Machine) submitUpdate(t *task) {
	if _, isWaiting := m.tasks[t.id()]; isWaiting {
		return
	}
	if t.key.key == "" || t.attempt == "" || len(t.key.key) > maxNameSize || len(t.attempt) > maxNameSize {
		m.answerUpdate(t, false)
		return
	}
	m.tasks[t.id()] = t
	m.submit(t)
}

// submit forwards a task to the owner of its partition, or queues it here.
func (m *Machine) submit(t *task) {
	owner := m.ownerOf(m.partitionFor(t.key))
	ownedElsewhere := owner != "" && owner != m.options.Host
	if t.isLocal() && ownedElsewhere && !m.now.Before(m.unresponsiveUntil[owner]) {
		m.forward(t, owner)
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

// Idle reports that no task is in progress, so that a host that stops may exit.
func (m *Machine) Idle() bool {
	return len(m.tasks) == 0
}

func (m *Machine) enqueue(t *task) {
	p := m.partitionFor(t.key)
	if t.kind == kindClaim && m.now.Before(p.closedUntil) {
		m.refuse(t, p.closedReason, p.closedUntil)
		return
	}
	if len(p.queue) >= m.queueLimit(t.kind) {
		m.refuseOverflow(t)
		return
	}
	t.phase = phaseQueued
	p.queue = append(p.queue, t)
	m.advance(p)
}

// queueLimit is higher for finishes and releases, so that these are still queued
// while claims are refused.
func (m *Machine) queueLimit(kind entryKind) int {
	if kind == kindClaim {
		return m.options.MaxQueue
	}
	return 2 * m.options.MaxQueue
}

func (m *Machine) refuseOverflow(t *task) {
	if t.kind == kindClaim {
		m.refuse(t, "too many claims are waiting", m.now.Add(m.options.Backoff))
		return
	}
	m.answerUpdate(t, false)
}

// onTaskTimer handles a task of which a timer has fired. Where the task has ended,
// the timer may be that of an expired grant.
func (m *Machine) onTaskTimer(id taskID) {
	t := m.tasks[id]
	if t == nil {
		if keepUntil, wasGranted := m.grantedUntil[id.attempt]; wasGranted && !m.now.Before(keepUntil) {
			delete(m.grantedUntil, id.attempt)
		}
		return
	}
	switch {
	case t.phase == phaseAwaitingFinish && !m.now.Before(t.phaseEnd):
		m.answerClaimedByOther(t)
	case t.kind == kindClaim && !m.now.Before(t.deadline):
		m.refuse(t, "the deadline passed before the claim was written", time.Time{})
	case t.phase == phaseAwaitingFinish:
		m.pollForFinish(t)
	case t.phase == phaseForwarded && !m.now.Before(t.phaseEnd):
		m.processLocally(t)
	}
}
