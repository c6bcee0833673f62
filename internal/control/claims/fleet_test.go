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
	storeDelay = 3 * time.Millisecond
	hopDelay   = 1500 * time.Microsecond
	team       = ident.TeamName("kerlouan")
	plenty     = time.Hour
)

var dayOne = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

// simHost is an entry host: its machine and the life that the machine is of.
type simHost struct {
	name    ident.HostID
	machine *Machine
	life    int
	frozen  bool
	inbox   []Event
	tickAt  time.Time
	// skew is how far the host's clock goes wrong.
	skew time.Duration
}

// message is a command on its way to whoever carries it out, or an event back.
type message struct {
	host    *simHost
	life    int
	command Command
	event   Event
	// mute tells that the caller has been told of no answer.
	mute bool
}

// fleet runs machines against a model store and checks every answer.
type fleet struct {
	t     require.TestingT
	now   time.Time
	hosts map[ident.HostID]*simHost
	names []ident.HostID
	store *modelStore
	// post takes each message: at its time, or when the test wants it.
	post func(message)
	// fault says what befalls a message; nil: nothing.
	fault    func(message) fault
	lateBy   time.Duration
	truth    *truth
	seen     map[ident.AttemptID]Answer
	noted    map[ident.AttemptID]bool
	notedAt  map[ident.AttemptID]time.Time
	onAnswer func(Answer)
	timed    events
	seq      int
	options  Options
}

func newFleet(t require.TestingT, hosts int, options Options) *fleet {
	f := &fleet{
		t:     t,
		now:   dayOne,
		hosts: make(map[ident.HostID]*simHost),
		store: &modelStore{
			entries: make(map[string]store.Entry),
		},
		truth:   newTruth(),
		seen:    make(map[ident.AttemptID]Answer),
		noted:   make(map[ident.AttemptID]bool),
		notedAt: make(map[ident.AttemptID]time.Time),
		options: options,
		lateBy:  700 * time.Millisecond,
	}
	f.post = f.postTimed
	for i := range hosts {
		name := ident.HostID(fmt.Sprintf("host-%d", i))
		f.names = append(f.names, name)
		f.hosts[name] = &simHost{
			name: name,
		}
		f.start(f.hosts[name])
	}
	for _, name := range f.names {
		f.step(f.hosts[name], f.live())
	}
	return f
}

func (f *fleet) live() Homes {
	return Homes{
		Hosts: f.names,
	}
}

// start begins a host's next life, which remembers nothing.
func (f *fleet) start(h *simHost) {
	options := f.options
	options.Host = h.name
	h.machine = New(options)
	h.life++
	h.frozen = false
	h.inbox = nil
}

func (f *fleet) step(h *simHost, event Event) {
	if h.frozen {
		h.inbox = append(h.inbox, event)
		return
	}
	for _, command := range h.machine.Step(f.now.Add(h.skew), event) {
		f.carryOut(h, command)
	}
	f.scheduleTick(h)
}

func (f *fleet) thaw(h *simHost) {
	inbox := h.inbox
	h.frozen, h.inbox = false, nil
	for _, event := range inbox {
		f.step(h, event)
	}
	f.step(h, Tick{})
}

func (f *fleet) carryOut(h *simHost, command Command) {
	switch command := command.(type) {
	case Answer:
		if command.Origin == "" {
			f.truth.check(f.t, f.now, command)
			f.seen[command.Attempt] = command
			if f.onAnswer != nil {
				f.onAnswer(command)
			}
			return
		}
		f.reply(f.hosts[command.Origin], ClaimForwarded{
			Answer: command,
		})
	case Recorded:
		if command.Origin == "" {
			f.noted[command.Attempt] = command.Recorded
			f.notedAt[command.Attempt] = f.now
			return
		}
		f.reply(f.hosts[command.Origin], NoteForwarded{
			Attempt:  command.Attempt,
			Recorded: command.Recorded,
		})
	default:
		f.post(message{
			host:    h,
			life:    h.life,
			command: command,
		})
	}
}

func (f *fleet) reply(h *simHost, event Event) {
	f.post(message{
		host:  h,
		life:  h.life,
		event: event,
	})
}

// arrive lets a message have its effect. A reply of a call comes as a new one.
func (f *fleet) arrive(m message) {
	if m.event != nil {
		if m.life == m.host.life {
			f.step(m.host, m.event)
		}
		return
	}
	back := m
	switch command := m.command.(type) {
	case ReadPartition:
		back.event = PageRead{
			Partition: command.Partition,
			Number:    command.Number,
			Entries:   f.store.read(command),
		}
	case SwapPartition:
		back.event = SwapAnswered{
			Partition: command.Partition,
			Number:    command.Number,
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
	if !m.mute {
		f.post(back)
	}
}

// claim asks at a host, with a deadline a minute away and an hour's keeping.
func (f *fleet) claim(host int, key ident.IdempotencyKey, attempt ident.AttemptID) {
	f.claimWith(host, f.newClaim(key, attempt))
}

func (f *fleet) newClaim(key ident.IdempotencyKey, attempt ident.AttemptID) Claim {
	return Claim{
		Team:        team,
		Key:         key,
		Attempt:     attempt,
		Fingerprint: 7,
		Deadline:    f.now.Add(time.Minute),
		KeepUntil:   f.now.Add(plenty),
	}
}

func (f *fleet) claimWith(host int, c Claim) {
	f.truth.asked[c.Attempt] = c
	f.step(f.hosts[f.names[host]], c)
}

func (f *fleet) finish(host int, key ident.IdempotencyKey, attempt ident.AttemptID, body string) {
	finish := Finish{
		Team:    team,
		Key:     key,
		Attempt: attempt,
		Status:  200,
		Body:    []byte(body),
	}
	f.truth.finishes[attempt] = finish
	f.step(f.hosts[f.names[host]], finish)
}

func TestClaimIsGrantedOnceAndItsAnswerRepeated(t *testing.T) {
	f := newFleet(t, 3, Options{})
	f.run(time.Second)
	for host := range f.names {
		f.claim(host, "boat-1", ident.AttemptID(fmt.Sprintf("a%d", host)))
	}
	f.run(time.Second)
	require.Len(t, f.truth.grants["boat-1"], 1)
	holder := f.truth.grants["boat-1"][0].Attempt
	f.finish(0, "boat-1", holder, "Marie-Jeanne sails")
	f.run(time.Second)
	require.True(t, f.noted[holder])
	require.Len(t, f.seen, len(f.names))
	for attempt, a := range f.seen {
		if attempt != holder {
			require.Equal(t, Finished, a.Verdict)
			require.Equal(t, "Marie-Jeanne sails", string(a.Body))
		}
	}
}
