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
package suspects

import (
	"slices"
	"sort"
	"time"

	"cicadaloom/internal/domain/ident"
)

// CrashesToRefuse is the number of crashes after which a request is refused.
const CrashesToRefuse = 2

// retention is how long a suspect is remembered after its last crash.
const retention = time.Hour

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

// Suspect is a request and the crashes that happened while it ran.
type Suspect struct {
	Fingerprint ident.Fingerprint
	Crashes     []ServerIncarnation
	KeepUntil   time.Time
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

// Crash returns the event for a lost attempt whose server is known to have crashed.
func (l *LostAttempt) Crash() Crash {
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
	ServerIncarnation ServerIncarnation
}

// Cleared reports that a backend server answered a request in full.
type Cleared struct {
	Fingerprint ident.Fingerprint
}

// Received holds the suspects that a peer reported.
type Received struct {
	Suspects []Suspect
}

func (Crash) isEvent()    {}
func (Cleared) isEvent()  {}
func (Received) isEvent() {}

// Machine keeps the suspects. The zero value is ready for use. It is not safe for
// concurrent use.
type Machine struct {
	suspects map[ident.Fingerprint]*Suspect
}

// Step applies one event and reports whether the view has changed.
func (m *Machine) Step(now time.Time, event Event) bool {
	if m.suspects == nil {
		m.suspects = make(map[ident.Fingerprint]*Suspect)
	}
	changed := m.expire(now)
	switch e := event.(type) {
	case Crash:
		changed = m.addCrash(e.Fingerprint, e.ServerIncarnation, now.Add(retention)) || changed
	case Cleared:
		changed = m.clear(e.Fingerprint) || changed
	case Received:
		for i := range e.Suspects {
			changed = m.addReported(now, &e.Suspects[i]) || changed
		}
	}
	m.dropExcess()
	return changed
}

// addReported adds a suspect that a peer reported. A peer that was suspended may report an
// expired suspect: adding it would spread it to all hosts once more.
func (m *Machine) addReported(now time.Time, suspect *Suspect) bool {
	if now.After(suspect.KeepUntil) {
		return false
	}
	changed := false
	for _, server := range suspect.Crashes {
		changed = m.addCrash(suspect.Fingerprint, server, suspect.KeepUntil) || changed
	}
	return changed
}

func (m *Machine) addCrash(fingerprint ident.Fingerprint, server ServerIncarnation, keepUntil time.Time) bool {
	suspect, known := m.suspects[fingerprint]
	if !known {
		suspect = &Suspect{
			Fingerprint: fingerprint,
		}
		m.suspects[fingerprint] = suspect
	}
	if suspect.isRefused() || slices.Contains(suspect.Crashes, server) {
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

// clear drops a suspect of one crash that was answered. A refused suspect stays refused: an
// answer that was in flight elsewhere is no evidence against two crashes.
func (m *Machine) clear(fingerprint ident.Fingerprint) bool {
	suspect, known := m.suspects[fingerprint]
	if !known || suspect.isRefused() {
		return false
	}
	delete(m.suspects, fingerprint)
	return true
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
	kept := m.MostUrgent(maxSuspects)
	clear(m.suspects)
	for i := range kept {
		m.suspects[kept[i].Fingerprint] = &kept[i]
	}
}

// All returns every suspect, to be sent to peers.
func (m *Machine) All() []Suspect {
	all := make([]Suspect, 0, len(m.suspects))
	for _, suspect := range m.suspects {
		all = append(all, Suspect{
			Fingerprint: suspect.Fingerprint,
			Crashes:     append([]ServerIncarnation(nil), suspect.Crashes...),
			KeepUntil:   suspect.KeepUntil,
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Fingerprint < all[j].Fingerprint })
	return all
}

// MostUrgent returns at most limit suspects, to be sent to peers: those that are refused,
// then those with the latest crashes.
func (m *Machine) MostUrgent(limit int) []Suspect {
	all := m.All()
	if len(all) <= limit {
		return all
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].isRefused() != all[j].isRefused() {
			return all[i].isRefused()
		}
		return all[i].KeepUntil.After(all[j].KeepUntil)
	})
	return all[:limit]
}

func (s *Suspect) isRefused() bool {
	return len(s.Crashes) >= CrashesToRefuse
}

// View is an immutable set of verdicts. A nil View serves every request.
type View struct {
	verdicts map[ident.Fingerprint]Verdict
}

// View returns the current verdicts.
func (m *Machine) View() *View {
	view := &View{
		verdicts: make(map[ident.Fingerprint]Verdict, len(m.suspects)),
	}
	for fingerprint, suspect := range m.suspects {
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
