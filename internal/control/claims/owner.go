package claims

import (
	"strconv"
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// onLiveHosts chooses the owner of each partition among the live hosts. While hosts
// disagree about who is live, swaps fail, but no key is granted twice.
func (m *Machine) onLiveHosts(e LiveHosts) {
	hostNames := make([]string, 0, len(e.Hosts))
	for _, host := range e.Hosts {
		hostNames = append(hostNames, string(host))
	}
	rendezvousHash := rendezvous.New(hostNames, xxhash.Sum64String)
	m.owners = make([]ident.HostID, len(m.partitions))
	for index, p := range m.partitions {
		m.owners[index] = ident.HostID(rendezvousHash.Lookup(strconv.Itoa(index)))
		m.loadOrUnload(p)
	}
}

// loadOrUnload reads the log of a partition that this host owns now, ahead of its
// first claim, and drops the log of one that it does not own and has no tasks for.
func (m *Machine) loadOrUnload(p *partition) {
	isOwner := m.ownerOf(p) == m.options.Host
	switch {
	case isOwner && !p.isLoaded && !p.hasCallInFlight() && !m.now.Before(p.closedUntil):
		m.startRead(p)
	case !isOwner && p.isLoaded && !p.hasCallInFlight() && len(p.queue) == 0 && len(p.finishWaiters) == 0:
		m.partitions[p.index] = p.unloadedCopy()
	}
}

// ownerOf returns the owner of a partition, empty while no live host is known.
func (m *Machine) ownerOf(p *partition) ident.HostID {
	if len(m.owners) == 0 {
		return ""
	}
	return m.owners[p.index]
}

// forward sends a task to the partition owner. Where no answer arrives in time,
// because the owner is frozen or unreachable, this host processes the task itself
// while the deadline still leaves time for it.
func (m *Machine) forward(t *task, owner ident.HostID) {
	t.phase = phaseForwarded
	t.forwardedTo = owner
	switch t.kind {
	case kindClaim:
		t.phaseEnd = m.now.Add(min(t.deadline.Sub(m.now)/forwardTimeoutDivisor, m.options.ForwardTimeout))
		claim := t.claim
		claim.Origin = m.options.Host
		m.emit(ForwardClaim{
			To:    owner,
			Claim: claim,
		})
	case kindFinish:
		t.phaseEnd = m.now.Add(m.options.ForwardTimeout)
		finish := t.finish
		finish.Origin = m.options.Host
		m.emit(ForwardFinish{
			To:     owner,
			Finish: finish,
		})
	case kindRelease:
		t.phaseEnd = m.now.Add(m.options.ForwardTimeout)
		m.emit(ForwardRelease{
			To: owner,
			Release: Release{
				Team:    t.key.team,
				Key:     t.key.key,
				Attempt: t.attempt,
				Origin:  m.options.Host,
			},
		})
	}
	m.wakeTask(t, t.phaseEnd)
}

// processLocally queues here a forwarded task that the owner did not answer. The
// owner may still process it too: both write the same attempt id, and the second one
// finds it in the log. The claim is granted once, since only this host, its origin,
// grants it and has one task for it.
//
// The owner gets no tasks for OwnerBackoff, so that not every caller waits for a host
// that is frozen or gone but still listed as live.
func (m *Machine) processLocally(t *task) {
	m.unresponsiveUntil[t.forwardedTo] = m.now.Add(m.options.OwnerBackoff)
	t.mayBeInLog = true
	t.phaseEnd = time.Time{}
	m.enqueue(t)
}

func (m *Machine) onClaimForwarded(e ClaimForwarded) {
	t := m.tasks[taskID{
		attempt: e.Answer.Attempt,
		kind:    kindClaim,
	}]
	if t == nil || !t.isLocal() {
		return
	}
	if e.Err == nil {
		delete(m.unresponsiveUntil, t.forwardedTo)
	}
	if e.Err == nil && e.Answer.Verdict == Granted {
		m.grant(t)
		return
	}
	if t.phase != phaseForwarded {
		return // processed locally: the log that this host reads decides
	}
	if e.Err != nil || e.Answer.Verdict == Unknown {
		m.processLocally(t)
		return
	}
	if e.Answer.Verdict == ClaimedByOther && m.now.Before(t.finishWaitLimit) {
		m.submit(t) // the owner waited for the finish as long as one call allows
		return
	}
	m.answerClaim(t, e.Answer)
}

func (m *Machine) onUpdateForwarded(e UpdateForwarded) {
	for _, kind := range []entryKind{kindFinish, kindRelease} {
		t := m.tasks[taskID{
			attempt: e.Attempt,
			kind:    kind,
		}]
		if t == nil || !t.isLocal() || t.phase != phaseForwarded {
			continue
		}
		if e.Err != nil {
			m.processLocally(t)
			continue
		}
		delete(m.unresponsiveUntil, t.forwardedTo)
		if !e.Recorded {
			m.enqueue(t) // the owner's view of the log may be older than ours
			continue
		}
		m.answerUpdate(t, true)
	}
}

// finishWaitEnd is until when a claim waits for another attempt's finish. A forwarded
// claim must be answered before its origin stops waiting for it; the origin submits
// it again if its caller still has time.
func (m *Machine) finishWaitEnd(t *task) time.Time {
	if t.isLocal() {
		return t.finishWaitLimit
	}
	remaining := t.deadline.Sub(m.now)
	return m.now.Add(min(remaining/(2*forwardTimeoutDivisor), m.options.ForwardTimeout/2))
}
