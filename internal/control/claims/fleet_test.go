package claims

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

const (
	storeDelay    = 3 * time.Millisecond
	hopDelay      = 1500 * time.Microsecond
	testTeam      = ident.TeamName("kerlouan")
	longRetention = time.Hour
)

var startTime = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

// simHost is an entry host with its machine. Its incarnation counts the restarts.
type simHost struct {
	name        ident.HostID
	machine     *Machine
	incarnation int
	isFrozen    bool
	inbox       []Event
	tickAt      time.Time
	// clockSkew is how far the host's clock is ahead.
	clockSkew time.Duration
}

// message is a command in flight to the store or another host, or an event in flight
// to the machine.
type message struct {
	host        *simHost
	incarnation int
	command     Command
	event       Event
	// dropsReply says that no reply is sent: the sender gets a failure instead.
	dropsReply bool
}

// fleet runs machines against a model store and checks every answer.
type fleet struct {
	t     require.TestingT
	now   time.Time
	hosts map[ident.HostID]*simHost
	names []ident.HostID
	store *modelStore
	// send takes each message: sendTimed delivers it at its time, randomFleet when
	// the test picks it.
	send func(message)
	// chooseFault chooses the fault of a message; nil: none.
	chooseFault  func(message) faultKind
	lateDelay    time.Duration
	checker      *answerChecker
	answers      map[ident.AttemptID]Answer
	recorded     map[ident.AttemptID]bool
	recordedAt   map[ident.AttemptID]time.Time
	onAnswer     func(Answer)
	scheduled    callHeap
	lastSequence int
	options      Options
}

func newFleet(t require.TestingT, hosts int, options Options) *fleet {
	f := &fleet{
		t:     t,
		now:   startTime,
		hosts: make(map[ident.HostID]*simHost),
		store: &modelStore{
			entries: make(map[string]store.Entry),
		},
		checker:    newAnswerChecker(),
		answers:    make(map[ident.AttemptID]Answer),
		recorded:   make(map[ident.AttemptID]bool),
		recordedAt: make(map[ident.AttemptID]time.Time),
		options:    options,
		lateDelay:  700 * time.Millisecond,
	}
	f.send = f.sendTimed
	for i := range hosts {
		name := ident.HostID(fmt.Sprintf("host-%d", i))
		f.names = append(f.names, name)
		f.hosts[name] = &simHost{
			name: name,
		}
		f.startHost(f.hosts[name])
	}
	for _, name := range f.names {
		f.step(f.hosts[name], f.allHostsLive())
	}
	return f
}

func (f *fleet) allHostsLive() LiveHosts {
	return LiveHosts{
		Hosts: f.names,
	}
}

// startHost starts a host's next incarnation, without any memory.
func (f *fleet) startHost(h *simHost) {
	options := f.options
	options.Host = h.name
	h.machine = New(options)
	h.incarnation++
	h.isFrozen = false
	h.inbox = nil
}

func (f *fleet) step(h *simHost, event Event) {
	if h.isFrozen {
		h.inbox = append(h.inbox, event)
		return
	}
	for _, command := range h.machine.Step(f.now.Add(h.clockSkew), event) {
		f.execute(h, command)
	}
	f.scheduleTick(h)
}

func (f *fleet) unfreeze(h *simHost) {
	inbox := h.inbox
	h.isFrozen, h.inbox = false, nil
	for _, event := range inbox {
		f.step(h, event)
	}
	f.step(h, Tick{})
}

func (f *fleet) execute(h *simHost, command Command) {
	switch command := command.(type) {
	case Answer:
		if command.Origin == "" {
			f.checker.check(f.t, f.now, command)
			f.answers[command.Attempt] = command
			if f.onAnswer != nil {
				f.onAnswer(command)
			}
			return
		}
		f.reply(f.hosts[command.Origin], ClaimForwarded{
			Answer: command,
		})
	case UpdateResult:
		if command.Origin == "" {
			f.recorded[command.Attempt] = command.Recorded
			f.recordedAt[command.Attempt] = f.now
			return
		}
		f.reply(f.hosts[command.Origin], UpdateForwarded{
			Attempt:  command.Attempt,
			Recorded: command.Recorded,
		})
	default:
		f.send(message{
			host:        h,
			incarnation: h.incarnation,
			command:     command,
		})
	}
}

func (f *fleet) reply(h *simHost, event Event) {
	f.send(message{
		host:        h,
		incarnation: h.incarnation,
		event:       event,
	})
}

// deliver carries out a message. The reply to a call is sent as a new message.
func (f *fleet) deliver(m message) {
	if m.event != nil {
		if m.incarnation == m.host.incarnation {
			f.step(m.host, m.event)
		}
		return
	}
	reply := m
	switch command := m.command.(type) {
	case ReadPartition:
		reply.event = PageRead{
			Partition: command.Partition,
			CallID:    command.CallID,
			Entries:   f.store.read(command),
		}
	case SwapPartition:
		reply.event = SwapAnswered{
			Partition: command.Partition,
			CallID:    command.CallID,
			Result:    f.store.swap(command.Swap),
		}
	case ForwardClaim:
		f.step(f.hosts[command.To], command.Claim)
		return
	case ForwardFinish:
		f.step(f.hosts[command.To], command.Finish)
		return
	case ForwardRelease:
		f.step(f.hosts[command.To], command.Release)
		return
	}
	if !m.dropsReply {
		f.send(reply)
	}
}

// claim submits a claim at a host, with a deadline in a minute and a KeepUntil in an
// hour.
func (f *fleet) claim(host int, key ident.IdempotencyKey, attempt ident.AttemptID) {
	f.submitClaim(host, f.newClaim(key, attempt))
}

func (f *fleet) newClaim(key ident.IdempotencyKey, attempt ident.AttemptID) Claim {
	return Claim{
		Team:        testTeam,
		Key:         key,
		Attempt:     attempt,
		Fingerprint: 7,
		Deadline:    f.now.Add(time.Minute),
		KeepUntil:   f.now.Add(longRetention),
	}
}

func (f *fleet) submitClaim(host int, c Claim) {
	f.checker.claims[c.Attempt] = c
	f.step(f.hosts[f.names[host]], c)
}

func (f *fleet) finish(host int, key ident.IdempotencyKey, attempt ident.AttemptID, body string) {
	finish := Finish{
		Team:    testTeam,
		Key:     key,
		Attempt: attempt,
		Status:  200,
		Body:    []byte(body),
	}
	f.checker.finishes[attempt] = finish
	f.step(f.hosts[f.names[host]], finish)
}

func TestClaimIsGrantedOnceAndItsAnswerRepeated(t *testing.T) {
	f := newFleet(t, 3, Options{})
	f.runFor(time.Second)
	for host := range f.names {
		f.claim(host, "boat-1", ident.AttemptID(fmt.Sprintf("a%d", host)))
	}
	f.runFor(time.Second)
	require.Len(t, f.checker.grantsByKey["boat-1"], 1)
	winner := f.checker.grantsByKey["boat-1"][0].Attempt
	f.finish(0, "boat-1", winner, "Marie-Jeanne sails")
	f.runFor(time.Second)
	require.True(t, f.recorded[winner])
	require.Len(t, f.answers, len(f.names))
	for attempt, a := range f.answers {
		if attempt != winner {
			require.Equal(t, Finished, a.Verdict)
			require.Equal(t, "Marie-Jeanne sails", string(a.Body))
		}
	}
}
