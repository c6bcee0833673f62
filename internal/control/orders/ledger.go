package orders

import (
	"slices"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// formerKept is how many earlier incarnations of a server a page remembers.
const formerKept = 4

// entry is what the plan page records of one server.
type entry struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	// Former has earlier incarnations, the newest last.
	Former []ident.Incarnation
	// AsOf is the engine's At of the report that the entry was written by.
	AsOf time.Time
	// Models are the intended residents; adapters follow from the documents.
	Models []placement.Weights
	// Orders are all orders that were not known to be settled.
	Orders []order
}

// order is an order whose intent is written.
type order struct {
	backend.Order
	WrittenAt time.Time
}

func (o *order) weights() placement.Weights {
	return placement.Weights{
		Model:   o.Model,
		Adapter: o.Adapter,
		Version: o.Version,
	}
}

func (o *order) loads() bool {
	return o.Kind == backend.LoadModel || o.Kind == backend.LoadAdapter
}

// server is all that the machine knows of one backend server.
type server struct {
	info backend.Server
	// listed tells that the newest list has the server.
	listed     bool
	report     *backend.Report
	receivedAt time.Time
	// seenAt is when the server was first heard of by list or report.
	seenAt time.Time
	since  map[placement.Weights]time.Time
	// entry is what the plan is known to hold; settled has the orders of it that
	// reports have settled since.
	entry   entry
	page    string
	settled map[ident.OrderID]backend.OrderResult
}

// accepts guards against reports that overtake each other, also over a restart:
// the newer state would be forgotten, and an order that it settled or a load
// that it shows would be planned over.
func (s *server) accepts(report *backend.Report) bool {
	if s.report != nil && !report.At.After(s.report.At) {
		return false
	}
	return !slices.Contains(s.entry.Former, report.Incarnation)
}

// current tells whether the report is at least as new as the plan's entry. A
// leader that has just read the plan may hold an older report: it would not
// show what a settled order, already gone from the plan, has loaded.
func (s *server) current() bool {
	return s.report != nil &&
		!s.report.At.Before(s.entry.AsOf) &&
		!slices.Contains(s.entry.Former, s.report.Incarnation)
}

// inDoubt tells whether an order could still take effect. An engine that checks
// fencing refuses what is older than the number that it reports and what is
// meant for another incarnation. One that ignores it does neither: a load
// delayed on its way over a restart would still be carried out.
func (s *server) inDoubt(o *order) bool {
	if _, settled := s.settled[o.ID]; settled {
		return false
	}
	if !s.current() || !s.report.ChecksFencing {
		return true
	}
	if o.Incarnation != s.report.Incarnation {
		return false
	}
	return o.Fencing >= s.report.Fencing || s.underWay(o.weights())
}

// underWay tells whether the report shows weights that are not ready. An order
// that the engine took before the greater fencing number came may be at work on
// them still: one more order would cross it.
func (s *server) underWay(weights placement.Weights) bool {
	for i := range s.report.Residents {
		resident := &s.report.Residents[i]
		if !resident.Ready && weightsOf(resident) == weights {
			return true
		}
	}
	return false
}

// doubts returns the orders that could still take effect.
func (s *server) doubts() []order {
	var doubts []order
	for i := range s.entry.Orders {
		if s.inDoubt(&s.entry.Orders[i]) {
			doubts = append(doubts, s.entry.Orders[i])
		}
	}
	return doubts
}

// reserved is the memory that is taken or may yet be: what the newest report
// shows, and every load in doubt. A load that the report already shows is
// counted once. An unload frees nothing before the report shows it gone.
func (s *server) reserved(doubts []order) unit.Bytes {
	total := s.report.Taken()
	for i := range doubts {
		if doubts[i].loads() && !s.shows(doubts[i].weights()) {
			total += doubts[i].Memory
		}
	}
	return total
}

func (s *server) shows(weights placement.Weights) bool {
	for i := range s.report.Residents {
		if weightsOf(&s.report.Residents[i]) == weights {
			return true
		}
	}
	return false
}

func weightsOf(resident *backend.Resident) placement.Weights {
	return placement.Weights{
		Model:   resident.Model,
		Adapter: resident.Adapter,
		Version: resident.Version,
	}
}

// settle notes which orders of the entry the report lists as settled. A report
// that does not list an order says nothing on it.
func (s *server) settle() {
	if !s.current() {
		return
	}
	for _, settled := range s.report.Settled {
		for i := range s.entry.Orders {
			if s.entry.Orders[i].ID == settled.ID {
				s.settled[settled.ID] = settled.Result
			}
		}
	}
}

// restarted tells whether the report is of another incarnation than the entry.
func (s *server) restarted() bool {
	return s.current() && s.entry.Incarnation != "" && s.entry.Incarnation != s.report.Incarnation
}

// news tells whether the entry could be written shorter than it is.
func (s *server) news() bool {
	if !s.current() || len(s.entry.Orders) == 0 {
		return false
	}
	return len(s.doubts()) < len(s.entry.Orders)
}

// revise returns the entry as the newest report has it.
func (s *server) revise() entry {
	revised := entry{
		Server:      s.entry.Server,
		Incarnation: s.report.Incarnation,
		Former:      slices.Clone(s.entry.Former),
		AsOf:        s.report.At,
		Orders:      s.doubts(),
	}
	if s.restarted() {
		revised.Former = append(revised.Former, s.entry.Incarnation)
		revised.Former = revised.Former[max(0, len(revised.Former)-formerKept):]
	}
	for i := range s.report.Residents {
		if s.report.Residents[i].Adapter == "" {
			revised.Models = append(revised.Models, weightsOf(&s.report.Residents[i]))
		}
	}
	return revised
}
