package orders

import (
	"slices"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// maxFormerIncarnations is how many earlier incarnations of a server a plan page
// keeps.
const maxFormerIncarnations = 4

// entry is what a plan page records about one server.
type entry struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	// Former has earlier incarnations, the newest last.
	Former []ident.Incarnation
	// AsOf is the At (engine's clock) of the report that the entry is based on.
	AsOf time.Time
	// Models are the base models in that report; adapters follow from the
	// documents.
	Models []placement.Weights
	// Orders are all orders that were not known to be settled when the entry was
	// written.
	Orders []order
}

// order is an order that is recorded in the plan.
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

func (o *order) isLoad() bool {
	return o.Kind == backend.LoadModel || o.Kind == backend.LoadAdapter
}

// server is everything that the machine knows about one backend server.
type server struct {
	info backend.Server
	// listed is set if the newest server list has the server.
	listed     bool
	report     *backend.Report
	receivedAt time.Time
	// firstSeenAt is when a list or report first named the server.
	firstSeenAt     time.Time
	firstReportedAt map[placement.Weights]time.Time
	// entry is the server's entry in the plan as last read or written; settled
	// has those of its orders that reports have settled since.
	entry   entry
	page    string
	settled map[ident.OrderID]backend.OrderResult
}

// acceptsReport reports whether a report is newer than the current one and not of
// an earlier incarnation. With an older report the machine would forget the newer
// state, and plan as if an order that it settled or a load that it shows did not
// exist.
func (s *server) acceptsReport(report *backend.Report) bool {
	if s.report != nil && !report.ReportedAt.After(s.report.ReportedAt) {
		return false
	}
	return !slices.Contains(s.entry.Former, report.Incarnation)
}

// hasCurrentReport reports whether the report is at least as new as the plan's
// entry. A leader that has just read the plan may have an older report, which does
// not show the weights loaded by a settled order that is already removed from the
// plan.
func (s *server) hasCurrentReport() bool {
	return s.report != nil &&
		!s.report.ReportedAt.Before(s.entry.AsOf) &&
		!slices.Contains(s.entry.Former, s.report.Incarnation)
}

// isInDoubt reports whether an order could still take effect. An engine that checks
// fencing refuses orders with a smaller fencing number than the one it reports, and
// orders for another incarnation. One that ignores fencing does neither: a load
// that is delayed past a restart would still be carried out.
func (s *server) isInDoubt(o *order) bool {
	if _, settled := s.settled[o.ID]; settled {
		return false
	}
	if !s.hasCurrentReport() || !s.report.ChecksFencing {
		return true
	}
	if o.Incarnation != s.report.Incarnation {
		return false
	}
	return o.Fencing >= s.report.Fencing || s.isInProgress(o.weights())
}

// isInProgress reports whether the report shows these weights as not ready. An
// order that the engine accepted before the greater fencing number arrived may
// still be working on them, and another order would conflict with it.
func (s *server) isInProgress(weights placement.Weights) bool {
	for i := range s.report.Residents {
		resident := &s.report.Residents[i]
		if !resident.Ready && weightsOf(resident) == weights {
			return true
		}
	}
	return false
}

// ordersInDoubt returns the orders that could still take effect.
func (s *server) ordersInDoubt() []order {
	var inDoubt []order
	for i := range s.entry.Orders {
		if s.isInDoubt(&s.entry.Orders[i]) {
			inDoubt = append(inDoubt, s.entry.Orders[i])
		}
	}
	return inDoubt
}

// reservedMemory is the memory that is used or may yet be: the weights in the
// newest report, and every load in doubt. A load that the report already shows is
// counted once. An unload frees nothing until the report no longer shows the
// weights.
func (s *server) reservedMemory(inDoubt []order) unit.Bytes {
	total := s.report.MemoryUsed()
	for i := range inDoubt {
		if inDoubt[i].isLoad() && !s.hasResident(inDoubt[i].weights()) {
			total += inDoubt[i].Memory
		}
	}
	return total
}

func (s *server) hasResident(weights placement.Weights) bool {
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

// applySettledOrders records which orders of the entry the report lists as settled.
// A report that does not list an order says nothing about that order.
func (s *server) applySettledOrders() {
	if !s.hasCurrentReport() {
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

// hasRestarted reports whether the report and the entry are of different
// incarnations.
func (s *server) hasRestarted() bool {
	return s.hasCurrentReport() && s.entry.Incarnation != "" && s.entry.Incarnation != s.report.Incarnation
}

// hasRemovableOrders reports whether the entry has orders that are no longer in
// doubt.
func (s *server) hasRemovableOrders() bool {
	if !s.hasCurrentReport() || len(s.entry.Orders) == 0 {
		return false
	}
	return len(s.ordersInDoubt()) < len(s.entry.Orders)
}

// revisedEntry returns the entry that the newest report calls for.
func (s *server) revisedEntry() entry {
	revised := entry{
		Server:      s.entry.Server,
		Incarnation: s.report.Incarnation,
		Former:      slices.Clone(s.entry.Former),
		AsOf:        s.report.ReportedAt,
		Orders:      s.ordersInDoubt(),
	}
	if s.hasRestarted() {
		revised.Former = append(revised.Former, s.entry.Incarnation)
		revised.Former = revised.Former[max(0, len(revised.Former)-maxFormerIncarnations):]
	}
	for i := range s.report.Residents {
		if s.report.Residents[i].Adapter == "" {
			revised.Models = append(revised.Models, weightsOf(&s.report.Residents[i]))
		}
	}
	return revised
}
