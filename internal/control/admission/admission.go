// Package admission decides which requests go first at a backend server that
// several classes and teams share, and which requests are refused at once.
//
// Engines serve their queue by priority. If the priority were a request's class
// alone, a flood of the first class would starve the others, and a flood of one
// team would take another team's share of a server that has models of both. So each
// class keeps its configured share of its team's answers, and each team an equal
// share of the server. What they leave unused goes to other requests in the order
// of their classes, and last to the teams over their share.
//
// Each entry host enforces this by itself with credits. A whole answer from a
// server is one credit: each team with models there gets an equal part of one, and
// each class of the answered team its share of one. A request that finds credit
// takes it and gets the first priority; one that finds none gets a later priority
// by its class. So the capacity of a server need not be known, and because each
// host adds credit for the answers that it sees, the hosts' shares add up without
// any message between them.
//
// # Usage
//
//	team := server.Team("kerlouan", []int{50, 30}) // control goroutine
//
//	position := team.Peek(class)                   // traffic goroutines
//	if lateness, refused := position.ShouldRefuse(load, now, limit); refused { ... }
//	ticket := team.Acquire(class)
//	defer ticket.Release(answered)
//	send(ticket.Priority())
//
// Nothing here takes a lock: credits and counts are atomic, and if two requests
// race for the last credit, one of them gets it.
package admission

import (
	"slices"
	"sync/atomic"

	"cicadaloom/internal/domain/ident"
)

// Limits of credit. Unused credit is kept for a burst, but only up to these limits:
// else a class that was quiet for an hour could delay the first class for minutes.
const (
	creditUnit     = 1000 // value of one credit in the counters
	creditPercent  = creditUnit / 100
	maxTeamCredit  = 16 * creditUnit
	maxClassCredit = 4 * creditUnit
)

// maxClasses is the number of classes with their own share; later classes count as
// the last one.
const maxClasses = 8

// The priorities sent to engines, 0 first: the requests of teams within their
// share, then those of teams over it; in each group first those with class credit,
// then the others by class.
const (
	overClassOffset = 1
	overTeamOffset  = overClassOffset + maxClasses
	numPriorities   = 2 * overTeamOffset
)

// Server is one entry host's state of one backend server. The zero value works.
type Server struct {
	teams    atomic.Pointer[[]*Team]
	inFlight [numPriorities]atomic.Int64
	// recentAnswers counts the last whole answers, by priority.
	recentAnswers [numPriorities]atomic.Int64
}

// Team is one team's share of a backend server.
type Team struct {
	server  *Server
	name    ident.TeamName
	shares  []int
	credit  atomic.Int64
	classes [maxClasses]atomic.Int64
}

// Team returns a team's share of the server, with the shares of its classes in
// percent. Only the goroutine that builds the routing tables may call it.
func (s *Server) Team(name ident.TeamName, shares []int) *Team {
	var teams []*Team
	if known := s.teams.Load(); known != nil {
		teams = *known
	}
	at := slices.IndexFunc(teams, func(t *Team) bool { return t.name == name })
	if at >= 0 && slices.Equal(teams[at].shares, shares) {
		return teams[at]
	}
	team := &Team{
		server: s,
		name:   name,
		shares: shares[:min(len(shares), maxClasses)],
	}
	team.credit.Store(maxTeamCredit)
	for i := range team.classes {
		team.classes[i].Store(maxClassCredit)
	}
	changed := slices.Clone(teams)
	if at >= 0 {
		changed[at] = team
	} else {
		changed = append(changed, team)
	}
	s.teams.Store(&changed)
	return team
}

// KeepTeams removes the teams that have nothing on the server any more: their
// shares go to the others. Only the goroutine that calls Team may call it.
func (s *Server) KeepTeams(isPresent func(ident.TeamName) bool) {
	known := s.teams.Load()
	if known == nil {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(*known), func(t *Team) bool { return !isPresent(t.name) })
	s.teams.Store(&kept)
}

// Ticket is one admitted request at a server.
type Ticket struct {
	team     *Team
	priority int
}

// Peek returns the queue position that a request of a class would get now; 0 is the
// first class.
func (t *Team) Peek(class int) QueuePosition {
	class = t.clampClass(class)
	priority := 0
	if t.classes[class].Load() < creditUnit {
		priority = overClassOffset + class
	}
	if !t.isOnlyTeam() && t.credit.Load() < creditUnit {
		priority += overTeamOffset
	}
	return QueuePosition{
		team:     t,
		priority: priority,
	}
}

// Acquire takes the credit that is available and counts the request as in flight.
func (t *Team) Acquire(class int) Ticket {
	class = t.clampClass(class)
	priority := 0
	if !takeCredit(&t.classes[class]) {
		priority = overClassOffset + class
	}
	if !takeCredit(&t.credit) && !t.isOnlyTeam() {
		priority += overTeamOffset
	}
	t.server.inFlight[priority].Add(1)
	return Ticket{
		team:     t,
		priority: priority,
	}
}

// Priority is the priority to send to the engine: 0 goes first.
func (k *Ticket) Priority() int {
	return k.priority
}

// Release counts the request's end. A whole answer adds credit. Later calls, and
// calls on the zero Ticket, do nothing.
func (k *Ticket) Release(answered bool) {
	if k.team == nil {
		return
	}
	k.team.server.inFlight[k.priority].Add(-1)
	if answered {
		k.team.server.creditTeams(k.priority)
		k.team.creditClasses()
	}
	k.team = nil
}

// maxRecentAnswers is the number of answers at one priority after which all counts of
// recent answers are halved, so that they show how the server was used lately.
const maxRecentAnswers = 128

// creditTeams counts an answer and adds an equal part of one credit to each team.
func (s *Server) creditTeams(priority int) {
	if s.recentAnswers[priority].Add(1) > maxRecentAnswers {
		for i := range s.recentAnswers {
			s.recentAnswers[i].Store(s.recentAnswers[i].Load() / 2)
		}
	}
	teams := *s.teams.Load()
	for _, team := range teams {
		addCredit(&team.credit, creditUnit/int64(len(teams)), maxTeamCredit)
	}
}

// creditClasses adds to each class its share of one credit.
func (t *Team) creditClasses() {
	for i, share := range t.shares {
		addCredit(&t.classes[i], int64(share)*creditPercent, maxClassCredit)
	}
}

// isOnlyTeam reports whether no other team has models on the server.
func (t *Team) isOnlyTeam() bool {
	return len(*t.server.teams.Load()) == 1
}

// isContended reports whether another team has recently used its share.
func (t *Team) isContended() bool {
	for _, other := range *t.server.teams.Load() {
		if other != t && other.credit.Load() < maxTeamCredit {
			return true
		}
	}
	return false
}

func (t *Team) clampClass(class int) int {
	return min(class, max(len(t.shares)-1, 0))
}

func takeCredit(credit *atomic.Int64) bool {
	if credit.Add(-creditUnit) >= 0 {
		return true
	}
	credit.Add(creditUnit)
	return false
}

func addCredit(credit *atomic.Int64, amount, limit int64) {
	if credit.Add(amount) > limit {
		credit.Store(limit)
	}
}
