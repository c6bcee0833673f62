package orders

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"
)

// maxSettledReported is the number of settled orders in a fake engine's report.
const maxSettledReported = 24

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// fakeStore is a key-value service with swaps and leases and without faults.
type fakeStore struct {
	revision  ident.Revision
	entries   map[string]store.Entry
	leases    map[store.LeaseID]bool
	lastLease store.LeaseID
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: make(map[string]store.Entry),
		leases:  make(map[store.LeaseID]bool),
	}
}

func (s *fakeStore) swap(swap store.Swap) store.SwapResult {
	var result store.SwapResult
	failed := false
	for _, compare := range swap.Compares {
		current := s.entries[compare.Key]
		current.Key = compare.Key
		result.Current = append(result.Current, current)
		failed = failed || current.Revision != compare.Revision
	}
	for _, put := range swap.Puts {
		failed = failed || put.Lease != 0 && !s.leases[put.Lease]
	}
	if failed {
		return result
	}
	s.revision++
	for _, put := range swap.Puts {
		s.entries[put.Key] = store.Entry{
			Key:      put.Key,
			Value:    put.Value,
			Revision: s.revision,
			Lease:    put.Lease,
		}
	}
	return store.SwapResult{
		Swapped:  true,
		Revision: s.revision,
	}
}

func (s *fakeStore) expireLease(lease store.LeaseID) {
	delete(s.leases, lease)
	maps.DeleteFunc(s.entries, func(_ string, entry store.Entry) bool {
		return entry.Lease != 0 && entry.Lease == lease
	})
}

func (s *fakeStore) list() []store.Entry {
	return slices.SortedFunc(maps.Values(s.entries), func(a, b store.Entry) int {
		return cmp.Compare(a.Key, b.Key)
	})
}

// fakeEngine is an engine that meets the requirements in the package comment.
type fakeEngine struct {
	info           backend.Server
	checksFencing  bool
	memory         unit.Bytes
	restarts       int
	reports        int
	fencing        ident.FencingNumber
	residents      []backend.Resident
	inProgress     []backend.Order
	receivedOrders map[ident.OrderID]bool
	settled        []backend.SettledOrder
	leaving        bool
	// duplicateLoads has load orders for weights that were already resident.
	duplicateLoads []string
	// conflictingOrders has orders for weights on which another order was in
	// progress.
	conflictingOrders []string
	// reportsStopped means that the engine sends no reports; unlisted, that it is
	// missing from the platform's list.
	reportsStopped bool
	unlisted       bool
}

func (e *fakeEngine) isBusyWith(order backend.Order) bool {
	return slices.ContainsFunc(e.inProgress, func(other backend.Order) bool {
		return other.Model == order.Model && other.Adapter == order.Adapter && other.Version == order.Version
	})
}

func (e *fakeEngine) incarnation() ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("%s/%d", e.info.Name, e.restarts))
}

// receive starts to carry out an order. An engine that ignores fencing checks
// neither the order's fencing number nor its incarnation.
func (e *fakeEngine) receive(order backend.Order) {
	if e.receivedOrders[order.ID] {
		return
	}
	if e.checksFencing && (order.Incarnation != e.incarnation() || order.Fencing < e.fencing) {
		return
	}
	e.receivedOrders[order.ID] = true
	e.fencing = max(e.fencing, order.Fencing)
	index := e.findResident(order)
	if e.isBusyWith(order) {
		e.conflictingOrders = append(e.conflictingOrders, fmt.Sprint(order))
	}
	switch {
	case isUnload(order) && index < 0:
		e.settle(order.ID, backend.OrderRefused)
	case isUnload(order):
		e.residents[index].Ready = false
		e.inProgress = append(e.inProgress, order)
	case index >= 0:
		e.duplicateLoads = append(e.duplicateLoads, fmt.Sprint(order))
		e.settle(order.ID, backend.OrderRefused)
	default:
		e.residents = append(e.residents, backend.Resident{
			Model:   order.Model,
			Adapter: order.Adapter,
			Version: order.Version,
			Memory:  order.Memory,
		})
		e.inProgress = append(e.inProgress, order)
	}
}

func isUnload(order backend.Order) bool {
	return order.Kind == backend.UnloadModel || order.Kind == backend.UnloadAdapter
}

func (e *fakeEngine) findResident(order backend.Order) int {
	return slices.IndexFunc(e.residents, func(resident backend.Resident) bool {
		return resident.Model == order.Model && resident.Adapter == order.Adapter && resident.Version == order.Version
	})
}

// finishOrder ends an order in progress.
func (e *fakeEngine) finishOrder(index int, failed bool) {
	order := e.inProgress[index]
	e.inProgress = slices.Delete(e.inProgress, index, index+1)
	residentIndex := e.findResident(order)
	switch {
	case isUnload(order) && failed:
		e.residents[residentIndex].Ready = true
		e.settle(order.ID, backend.OrderFailed)
		return
	case isUnload(order):
		e.residents = slices.Delete(e.residents, residentIndex, residentIndex+1)
	case failed:
		e.residents = slices.Delete(e.residents, residentIndex, residentIndex+1)
		e.settle(order.ID, backend.OrderFailed)
		return
	default:
		e.residents[residentIndex].Ready = true
	}
	e.settle(order.ID, backend.OrderDone)
}

func (e *fakeEngine) settle(id ident.OrderID, result backend.OrderResult) {
	e.settled = append(e.settled, backend.SettledOrder{
		ID:     id,
		Result: result,
	})
	e.settled = e.settled[max(0, len(e.settled)-maxSettledReported):]
}

// report returns the engine's report; each has a later time than the one before.
func (e *fakeEngine) report() *backend.Report {
	e.reports++
	return &backend.Report{
		Server:        e.info.Name,
		Incarnation:   e.incarnation(),
		ReportedAt:    epoch.Add(time.Duration(e.reports) * time.Millisecond),
		Memory:        e.memory,
		Residents:     slices.Clone(e.residents),
		ChecksFencing: e.checksFencing,
		Fencing:       e.fencing,
		Settled:       slices.Clone(e.settled),
		Leaving:       e.leaving,
	}
}
