// Package admission decides which requests go first at a backend server that
// several classes and teams share, and which are refused at once.
//
// Model engines run what waits by priority. Were the priority a request's class
// alone, a flood of the first class would starve the others for ever, and a flood
// of one team would take another's part of a server that holds models of both.
// So each class keeps its share, and each team its part; what they leave over
// goes by the order of classes, and last to the teams over their part.
//
// The rule is one of credit, kept by each entry host alone: a whole answer from a
// server is one unit of its capacity. It gives each team with models there an
// equal part of a credit, and each class of the answered team its share of one. A
// request that finds credit takes it and goes first; one that finds none goes
// after, by its class. So the rule needs no knowledge of what a server can do, and
// since each host gives credit by the answers that it sees, the hosts' parts add
// up to the shares without a word between them.
//
// # Usage
//
//	team := server.Team("kerlouan", []int{50, 30}) // control goroutine
//
//	place := team.Peek(class)                      // traffic goroutines
//	if refusal, refused := place.Refuse(load, now, limit); refused { ... }
//	ticket := team.Enter(class)
//	defer ticket.Leave(answered)
//	send(ticket.Priority())
//
// Nothing here takes a lock: credits and counts are atomic, and a race between
// two requests for the last credit gives it to one of them.
package admission

import (
	"slices"
	"sync/atomic"

	"cicadaloom/internal/domain/ident"
)

// Bounds of credit, in credits. What a team or class has not used is kept for a
// burst, no longer: else a class that was quiet for an hour could hold up the
// first one for minutes.
const (
	unit     = 1000 // of the counters
	percent  = unit / 100
	mostTeam = 16 * unit
	mostRank = 4 * unit
)

// maxClasses is how many classes are told apart; later ones go with the last.
const maxClasses = 8

// The priorities given to engines, 0 first: within the team's part, then over it,
// each with the requests within their class's share before the others by class.
const (
	overClass     = 1
	overTeam      = overClass + maxClasses
	numPriorities = 2 * overTeam
)

// Server is what one entry host knows of the use of one backend server. The zero
// value works.
type Server struct {
	teams    atomic.Pointer[[]*Team]
	underWay [numPriorities]atomic.Int64
	// answers counts the last whole answers.
	answers [numPriorities]atomic.Int64
}

// Team is one team's part of a backend server.
type Team struct {
	server  *Server
	name    ident.TeamName
	shares  []int
	credit  atomic.Int64
	classes [maxClasses]atomic.Int64
}

// Team gives a team's part of the server, with the shares of its classes in
// percent. Only one goroutine may call it, the one that makes the tables.
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
	team.credit.Store(mostTeam)
	for i := range team.classes {
		team.classes[i].Store(mostRank)
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

// Keep forgets the teams that have nothing at the server any more: their parts
// go to the others. Only the goroutine that calls Team may call it.
func (s *Server) Keep(holds func(ident.TeamName) bool) {
	known := s.teams.Load()
	if known == nil {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(*known), func(t *Team) bool { return !holds(t.name) })
	s.teams.Store(&kept)
}

// Ticket is one request's place at a server.
type Ticket struct {
	team     *Team
	priority int
}

// Peek gives the place that a request of a class would get now; 0 is the first class.
func (t *Team) Peek(class int) Place {
	class = t.clamp(class)
	priority := 0
	if t.classes[class].Load() < unit {
		priority = overClass + class
	}
	if !t.alone() && t.credit.Load() < unit {
		priority += overTeam
	}
	return Place{
		team:     t,
		priority: priority,
	}
}

// Enter takes the credit that there is and counts the request as under way.
func (t *Team) Enter(class int) Ticket {
	class = t.clamp(class)
	priority := 0
	if !take(&t.classes[class]) {
		priority = overClass + class
	}
	if !take(&t.credit) && !t.alone() {
		priority += overTeam
	}
	t.server.underWay[priority].Add(1)
	return Ticket{
		team:     t,
		priority: priority,
	}
}

// Priority is what the engine is told: 0 goes first.
func (k *Ticket) Priority() int {
	return k.priority
}

// Leave ends a request's place. A whole answer gives credit. The zero Ticket has
// no place to end.
func (k *Ticket) Leave(answered bool) {
	if k.team == nil {
		return
	}
	k.team.server.underWay[k.priority].Add(-1)
	if answered {
		k.team.server.answered(k.priority)
		k.team.answered()
	}
	k.team = nil
}

// answersKept is how many last answers tell the engine's use.
const answersKept = 128

// answered gives each team its part of one credit.
func (s *Server) answered(priority int) {
	if s.answers[priority].Add(1) > answersKept {
		for i := range s.answers {
			s.answers[i].Store(s.answers[i].Load() / 2)
		}
	}
	teams := *s.teams.Load()
	for _, team := range teams {
		give(&team.credit, unit/int64(len(teams)), mostTeam)
	}
}

// answered gives each class its share of one credit.
func (t *Team) answered() {
	for i, share := range t.shares {
		give(&t.classes[i], int64(share)*percent, mostRank)
	}
}

// alone tells that no other team has models at the server.
func (t *Team) alone() bool {
	return len(*t.server.teams.Load()) == 1
}

// contended tells that another team has used its part lately.
func (t *Team) contended() bool {
	for _, other := range *t.server.teams.Load() {
		if other != t && other.credit.Load() < mostTeam {
			return true
		}
	}
	return false
}

func (t *Team) clamp(class int) int {
	return min(class, max(len(t.shares)-1, 0))
}

func take(credit *atomic.Int64) bool {
	if credit.Add(-unit) >= 0 {
		return true
	}
	credit.Add(unit)
	return false
}

func give(credit *atomic.Int64, amount, most int64) {
	if credit.Add(amount) > most {
		credit.Store(most)
	}
}
