package claims

import (
	"strconv"
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// onHomes chooses the home of each partition among the live hosts. Hosts may
// differ for a while about who is live: that costs swaps, never safety.
func (m *Machine) onHomes(e Homes) {
	names := make([]string, 0, len(e.Hosts))
	for _, host := range e.Hosts {
		names = append(names, string(host))
	}
	hosts := rendezvous.New(names, xxhash.Sum64String)
	m.homes = make([]ident.HostID, len(m.partitions))
	for index, p := range m.partitions {
		m.homes[index] = ident.HostID(hosts.Lookup(strconv.Itoa(index)))
		m.takeOrLeave(p)
	}
}

// takeOrLeave reads a partition that is ours now, before the first claim asks
// for it, and forgets one that isn't and of which nothing is under way.
func (m *Machine) takeOrLeave(p *partition) {
	home := m.homeOf(p) == m.options.Host
	switch {
	case home && !p.loaded && !p.busy() && !m.now.Before(p.downUntil):
		m.read(p)
	case !home && p.loaded && !p.busy() && len(p.queue) == 0 && len(p.watchers) == 0:
		m.partitions[p.index] = p.forgotten()
	}
}

func (m *Machine) homeOf(p *partition) ident.HostID {
	if len(m.homes) == 0 {
		return ""
	}
	return m.homes[p.index]
}

// forward asks the home. A home that is cut off or frozen shows as an answer
// that doesn't come; the task is taken back then, while there is time for it.
func (m *Machine) forward(t *task, home ident.HostID) {
	t.phase = phaseForwarded
	t.home = home
	switch t.kind {
	case kindClaim:
		t.until = m.now.Add(min(t.deadline.Sub(m.now)/forwardShare, m.options.ForwardPatience))
		claim := t.claim
		claim.Origin = m.options.Host
		m.emit(ForwardClaim{
			To:    home,
			Claim: claim,
		})
	case kindFinish:
		t.until = m.now.Add(m.options.ForwardPatience)
		finish := t.finish
		finish.Origin = m.options.Host
		m.emit(ForwardFinish{
			To:     home,
			Finish: finish,
		})
	case kindRelease:
		t.until = m.now.Add(m.options.ForwardPatience)
		m.emit(ForwardRelease{
			To: home,
			Release: Release{
				Team:    t.key.team,
				Key:     t.key.key,
				Attempt: t.attempt,
				Origin:  m.options.Host,
			},
		})
	}
	m.wakeTask(t, t.until)
}

// takeBack carries out here what the home didn't answer. The home may still
// carry it out as well: both write the same attempt id, and whoever comes second
// finds it in the log. That claim is granted once, since only we, its origin,
// grant it, and have one task for it.
//
// The home is left alone for a while, so that not every caller has to wait for
// a host that is frozen or gone and still stands among the live ones.
func (m *Machine) takeBack(t *task) {
	m.silent[t.home] = m.now.Add(m.options.HomeSilence)
	t.doubt = true
	t.until = time.Time{}
	m.enqueue(t)
}

func (m *Machine) onClaimForwarded(e ClaimForwarded) {
	t := m.tasks[taskID{
		attempt: e.Answer.Attempt,
		kind:    kindClaim,
	}]
	if t == nil || !t.local() {
		return
	}
	if e.Err == nil {
		delete(m.silent, t.home)
	}
	if e.Err == nil && e.Answer.Verdict == Granted {
		m.grant(t)
		return
	}
	if t.phase != phaseForwarded {
		return // taken back: our own reading decides
	}
	if e.Err != nil || e.Answer.Verdict == Unknown {
		m.takeBack(t)
		return
	}
	if e.Answer.Verdict == ClaimedByOther && m.now.Before(t.watchEnd) {
		m.submit(t) // the home has watched as long as a call may last
		return
	}
	m.answer(t, e.Answer)
}

func (m *Machine) onNoteForwarded(e NoteForwarded) {
	for _, kind := range []entryKind{kindFinish, kindRelease} {
		t := m.tasks[taskID{
			attempt: e.Attempt,
			kind:    kind,
		}]
		if t == nil || !t.local() || t.phase != phaseForwarded {
			continue
		}
		if e.Err != nil {
			m.takeBack(t)
			continue
		}
		delete(m.silent, t.home)
		if !e.Recorded {
			m.enqueue(t) // its log may be behind ours
			continue
		}
		m.recorded(t, true)
	}
}

// watchUntil is how long a claim waits for another attempt's finish. One that
// was forwarded must be answered before its origin takes it back; the origin
// asks again if its caller still has time.
func (m *Machine) watchUntil(t *task) time.Time {
	if t.local() {
		return t.watchEnd
	}
	left := t.deadline.Sub(m.now)
	return m.now.Add(min(left/(2*forwardShare), m.options.ForwardPatience/2))
}
