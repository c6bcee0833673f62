// Package suspects finds the requests that crash the backend servers that run them, so that
// all entry hosts refuse them.
//
// A request may crash each backend server that runs it, and its caller sends it again. A
// host that loses a backend server while requests are in flight there can't tell which of
// them caused the crash: all of them become suspects. A request is recognised by the
// fingerprint of its content. A suspect of one crash is run alone on a server: if it is
// harmless, its answer clears it, and if it is not, no other request is lost with it. A
// suspect of two crashes is refused. Hosts exchange the crashes they know; a crash is named
// by the server's name and incarnation, so it counts once however often it is reported.
// A request without a body may be common: of its crashes, all that are unforeseen count as
// one.
//
// Requests that differ may crash servers because a part of their prompts is the same. So the
// parts of the prompts in flight become suspects too, except for those to which a server of the
// same build has lately begun an answer: harmless requests have most parts in common with those
// that crash servers, and are in flight beside them. A part is refused after more crashes than
// a request, and cleared for all hosts as soon as any server begins an answer to it. A prompt is
// refused only if one of its parts is needed to explain a crash.
//
// The entry host's control goroutine owns a Machine, which needs no locking: it passes each
// event to Step and publishes a new View when Step reports a change. Traffic goroutines
// read the View.
//
// # Usage
//
//	machine.Step(now, suspects.Crash{
//		Fingerprint: fingerprint,
//		ServerIncarnation: suspects.ServerIncarnation{
//			Server:      "brest-a-gpu-03",
//			Incarnation: "inc-7",
//		},
//	})
//	switch machine.View().Verdict(fingerprint) {
//	case suspects.Refuse:     // answer at once
//	case suspects.ServeAlone: // choose a replica with no requests in flight
//	}
//	switch machine.View().PartsVerdict(partsAtBuild) {
//	case suspects.Refuse: // choose a replica of another build, or answer at once
//	}
package suspects

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	// CrashesToRefuse is the number of crashes after which a request is refused.
	CrashesToRefuse = 2
	// partCrashesToRefuse is that of a prompt part. It is higher, since many requests share a
	// part, and all are refused with it.
	partCrashesToRefuse = 3
	// maxPartCrashes is how many crashes of a part are remembered: those after the ones for which
	// it is refused tell it from parts that came with it. From then on it is refused in any prompt.
	maxPartCrashes = 5
)

const (
	// Retention is how long a suspect is remembered after its last crash.
	Retention = time.Hour
	// minRemaining is for how long a peer must still remember a suspect for it to be added. The
	// time on the way counts twice: without a margin, hosts would go on telling each other of
	// suspects that are about to expire.
	minRemaining = time.Second
)

// maxSuspects bounds memory and the messages between hosts. One crash makes as many
// suspects as a server has slots. Beyond the bound the least urgent are dropped.
const maxSuspects = 1024

// Verdict is how to handle a request.
type Verdict uint8

// The verdicts: serve normally, serve on a server without other requests, refuse.
const (
	Serve Verdict = iota
	ServeAlone
	Refuse
)

// ServerIncarnation names one incarnation of one backend server.
type ServerIncarnation struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
}

// Subject is what a fingerprint identifies.
type Subject uint8

// The subjects: a whole request, a part of prompts at any build of a service's software, a part
// at one build.
const (
	WholeRequest Subject = iota
	PromptPart
	PromptPartAtBuild
)

// Suspect is a request, or a part of prompts, and the crashes that happened while it ran.
type Suspect struct {
	Fingerprint ident.Fingerprint
	Subject     Subject
	Crashes     []ServerIncarnation
	// IsHarmless is set for a part to which a server has begun an answer after the crashes. It is
	// remembered so that peers that know only of the crashes learn of it.
	IsHarmless bool
	KeepUntil  time.Time
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// LostAttempt is an attempt at a request during which a backend server stopped responding.
// It is not an event: whether the server crashed has to be found out first.
type LostAttempt struct {
	Fingerprint       ident.Fingerprint
	Request           ident.RequestID
	Attempt           ident.AttemptID
	ServerIncarnation ServerIncarnation
	Address           string
	// Parts are the parts of the prompt that other requests may share, if the server had not
	// begun its answer.
	Parts []Part
	// WasAnswered is set if another server has lately answered the request: it is no suspect then,
	// but a part of it may be.
	WasAnswered bool
	// Unforeseen is set if the request has no body, so that many callers may send the same,
	// and its host knew of no server lost under it when it was sent.
	Unforeseen bool
}

// unforeseenCrash stands for all crashes of unforeseen losses of a request. Copies of a common
// request are in flight at all servers of a service that goes down as a whole, and must not
// be refused for that.
var unforeseenCrash = ServerIncarnation{
	Incarnation: "unforeseen",
}

// Crashes returns the events for a lost attempt whose server is known to have crashed.
func (l *LostAttempt) Crashes() []Event {
	var events []Event
	if !l.WasAnswered {
		events = append(events, l.requestCrash())
	}
	for _, part := range l.Parts {
		for i, fingerprint := range part.fingerprints() {
			events = append(events, Crash{
				Fingerprint:       fingerprint,
				Subject:           partSubjects[i],
				ServerIncarnation: l.ServerIncarnation,
			})
		}
	}
	return events
}

func (l *LostAttempt) requestCrash() Crash {
	crash := Crash{
		Fingerprint:       l.Fingerprint,
		ServerIncarnation: l.ServerIncarnation,
	}
	if l.Unforeseen {
		crash.ServerIncarnation = unforeseenCrash
	}
	return crash
}

// Crash reports that a backend server crashed while a request was in flight there.
type Crash struct {
	Fingerprint       ident.Fingerprint
	Subject           Subject
	ServerIncarnation ServerIncarnation
}

// Cleared reports that a backend server answered a request in full.
type Cleared struct {
	Fingerprint ident.Fingerprint
}

// HarmlessPart reports that a backend server of a part's build began an answer to it.
type HarmlessPart struct {
	Part Part
}

// Received holds the suspects that a peer reported.
type Received struct {
	Suspects []Suspect
}

func (Crash) isEvent()        {}
func (Cleared) isEvent()      {}
func (HarmlessPart) isEvent() {}
func (Received) isEvent()     {}

// Machine keeps the suspects. The zero value is ready for use. It is not safe for
// concurrent use.
type Machine struct {
	// Harmless are the parts of prompts to which servers have lately begun answers to this host. It
	// may be nil.
	Harmless *Answered
	suspects map[ident.Fingerprint]*Suspect
	// urgent is the last result of MostUrgent, for urgentLimit; nil after a change.
	urgent      []Suspect
	urgentLimit int
}

// Step applies one event and reports whether the view has changed.
func (m *Machine) Step(now time.Time, event Event) bool {
	if m.suspects == nil {
		m.suspects = make(map[ident.Fingerprint]*Suspect)
	}
	changed := m.expire(now)
	switch e := event.(type) {
	case Crash:
		changed = m.addOwn(now, e) || changed
	case Cleared:
		changed = m.clear(e.Fingerprint) || changed
	case HarmlessPart:
		changed = m.clearPart(now, e.Part) || changed
	case Received:
		for i := range e.Suspects {
			changed = m.addReported(now, &e.Suspects[i]) || changed
		}
	}
	if changed {
		m.dropExcess()
		m.urgent = nil
	}
	return changed
}

// addOwn adds a crash that this host has found.
func (m *Machine) addOwn(now time.Time, crash Crash) bool {
	if crash.Subject != WholeRequest && m.Harmless.Has(now, crash.Fingerprint) {
		return false
	}
	return m.addCrash(crash.Fingerprint, crash.Subject, crash.ServerIncarnation, now.Add(Retention))
}

// addReported adds a suspect that a peer reported. A peer that was suspended may report an
// expired suspect: adding it would spread it to all hosts once more.
func (m *Machine) addReported(now time.Time, suspect *Suspect) bool {
	switch {
	case now.Add(minRemaining).After(suspect.KeepUntil):
		return false
	case suspect.IsHarmless:
		return m.markHarmless(suspect, suspect.KeepUntil)
	case suspect.Subject != WholeRequest && m.Harmless.Has(now, suspect.Fingerprint):
		return m.markHarmless(suspect, now.Add(partAnswerValidity))
	}
	changed := false
	for _, server := range suspect.Crashes {
		changed = m.addCrash(suspect.Fingerprint, suspect.Subject, server, suspect.KeepUntil) || changed
	}
	return changed
}

func (m *Machine) addCrash(fingerprint ident.Fingerprint, subject Subject, server ServerIncarnation, keepUntil time.Time) bool {
	suspect, known := m.suspects[fingerprint]
	if !known {
		suspect = &Suspect{
			Fingerprint: fingerprint,
			Subject:     subject,
		}
		m.suspects[fingerprint] = suspect
	}
	if suspect.IsHarmless || len(suspect.Crashes) >= suspect.maxCrashes() || slices.Contains(suspect.Crashes, server) {
		return false
	}
	suspect.Crashes = append(suspect.Crashes, server)
	// Only news extends the time: hosts that tell each other the same crash again and again
	// would never forget it.
	if keepUntil.After(suspect.KeepUntil) {
		suspect.KeepUntil = keepUntil
	}
	return true
}

// markHarmless records that a part crashes no server. The crashes that it is cleared of are kept, so
// that what peers may refuse is passed on first.
func (m *Machine) markHarmless(part *Suspect, keepUntil time.Time) bool {
	crashes := part.Crashes
	if known := m.suspects[part.Fingerprint]; known != nil {
		if known.IsHarmless {
			return false // only news extends the time
		}
		if len(known.Crashes) > len(crashes) {
			crashes = known.Crashes
		}
	}
	m.suspects[part.Fingerprint] = &Suspect{
		Fingerprint: part.Fingerprint,
		Subject:     part.Subject,
		Crashes:     crashes,
		IsHarmless:  true,
		KeepUntil:   keepUntil,
	}
	return true
}

// clear drops a suspect request of one crash that was answered. A refused one stays refused: an
// answer that was in flight elsewhere is no evidence against two crashes.
func (m *Machine) clear(fingerprint ident.Fingerprint) bool {
	suspect, known := m.suspects[fingerprint]
	if !known || suspect.Subject != WholeRequest || suspect.isRefused() {
		return false
	}
	delete(m.suspects, fingerprint)
	return true
}

// clearPart marks a part as harmless if it is a suspect.
func (m *Machine) clearPart(now time.Time, part Part) bool {
	changed := false
	for _, fingerprint := range part.fingerprints() {
		if suspect, known := m.suspects[fingerprint]; known {
			changed = m.markHarmless(suspect, now.Add(partAnswerValidity)) || changed
		}
	}
	return changed
}

func (m *Machine) expire(now time.Time) bool {
	changed := false
	for fingerprint, suspect := range m.suspects {
		if now.After(suspect.KeepUntil) {
			delete(m.suspects, fingerprint)
			changed = true
		}
	}
	return changed
}

func (m *Machine) dropExcess() {
	if len(m.suspects) <= maxSuspects {
		return
	}
	kept := m.All()
	clear(m.suspects)
	for i := range kept {
		m.suspects[kept[i].Fingerprint] = &kept[i]
	}
}

// All returns every suspect, the most urgent first.
func (m *Machine) All() []Suspect {
	return m.mostUrgent(maxSuspects, func(*Suspect) bool { return true })
}

// MostUrgent returns at most limit suspects, to be sent to peers: those that are refused, or that
// peers may refuse though they are harmless, then those with most crashes, then parts, which many
// requests share, then those with the latest crashes. The result must not be changed.
func (m *Machine) MostUrgent(limit int) []Suspect {
	if m.urgent == nil || m.urgentLimit != limit {
		m.urgent = m.mostUrgent(limit, func(*Suspect) bool { return true })
		m.urgentLimit = limit
	}
	return m.urgent
}

// Suspected returns at most limit suspects that aren't known to be harmless, the most urgent first.
func (m *Machine) Suspected(limit int) []Suspect {
	return m.mostUrgent(limit, func(s *Suspect) bool { return !s.IsHarmless })
}

// CountRefused returns how many suspects are refused.
func (m *Machine) CountRefused() int {
	count := 0
	for _, suspect := range m.suspects {
		if suspect.isRefused() {
			count++
		}
	}
	return count
}

// mostUrgent returns copies of the most urgent suspects that match.
func (m *Machine) mostUrgent(limit int, matches func(*Suspect) bool) []Suspect {
	var matching []*Suspect
	for _, suspect := range m.suspects {
		if matches(suspect) {
			matching = append(matching, suspect)
		}
	}
	slices.SortFunc(matching, compareUrgency)
	copies := make([]Suspect, 0, min(limit, len(matching)))
	for _, suspect := range matching[:min(limit, len(matching))] {
		copied := *suspect
		copied.Crashes = slices.Clone(suspect.Crashes)
		copies = append(copies, copied)
	}
	return copies
}

// compareUrgency orders the more urgent suspect first.
func compareUrgency(a, b *Suspect) int {
	switch {
	case a.hasCrashesToRefuse() != b.hasCrashesToRefuse():
		return firstIf(a.hasCrashesToRefuse())
	case len(a.Crashes) != len(b.Crashes):
		return cmp.Compare(len(b.Crashes), len(a.Crashes))
	case (a.Subject == WholeRequest) != (b.Subject == WholeRequest):
		return firstIf(b.Subject == WholeRequest)
	}
	return cmp.Or(b.KeepUntil.Compare(a.KeepUntil), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

func firstIf(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

func (s *Suspect) isRefused() bool {
	return !s.IsHarmless && s.hasCrashesToRefuse()
}

func (s *Suspect) hasCrashesToRefuse() bool {
	if s.Subject == WholeRequest {
		return len(s.Crashes) >= CrashesToRefuse
	}
	return len(s.Crashes) >= partCrashesToRefuse
}

// maxCrashes returns how many crashes are remembered.
func (s *Suspect) maxCrashes() int {
	if s.Subject == WholeRequest {
		return CrashesToRefuse
	}
	return maxPartCrashes
}

// maxRefusedParts bounds the work that refused parts make for each request.
const maxRefusedParts = 64

// refusedParts returns the most urgent refused parts.
func (m *Machine) refusedParts() []Suspect {
	return m.mostUrgent(maxRefusedParts, func(s *Suspect) bool { return s.Subject != WholeRequest && s.isRefused() })
}

// View is an immutable set of verdicts. A nil View serves every request.
type View struct {
	verdicts map[ident.Fingerprint]Verdict
	hasParts bool
	// refusedParts are the most urgent of the parts that are refused.
	refusedParts []Suspect
}

// View returns the current verdicts.
func (m *Machine) View() *View {
	view := &View{
		verdicts:     make(map[ident.Fingerprint]Verdict, len(m.suspects)),
		refusedParts: m.refusedParts(),
	}
	for fingerprint, suspect := range m.suspects {
		if suspect.IsHarmless {
			continue
		}
		view.hasParts = view.hasParts || suspect.Subject != WholeRequest
		view.verdicts[fingerprint] = ServeAlone
		if suspect.isRefused() {
			view.verdicts[fingerprint] = Refuse
		}
	}
	return view
}

// Verdict returns how to handle a request.
func (v *View) Verdict(fingerprint ident.Fingerprint) Verdict {
	if v == nil {
		return Serve
	}
	return v.verdicts[fingerprint]
}
