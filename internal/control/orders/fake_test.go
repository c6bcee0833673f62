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

// settledKept is how many settled orders a model engine reports.
const settledKept = 24

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// fakeStore is the key-value service: swaps, leases, no faults of its own.
type fakeStore struct {
	revision ident.Revision
	entries  map[string]store.Entry
	leases   map[store.LeaseID]bool
	granted  store.LeaseID
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

func (s *fakeStore) lapse(lease store.LeaseID) {
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

// fakeEngine is a model engine by the rules that package orders relies on.
type fakeEngine struct {
	info      backend.Server
	checks    bool
	memory    unit.Bytes
	life      int
	reports   int
	fencing   ident.FencingNumber
	residents []backend.Resident
	working   []backend.Order
	known     map[ident.OrderID]bool
	settled   []backend.SettledOrder
	leaving   bool
	// doubled has weights that were loaded while they were there.
	doubled []string
	// crossed has orders for weights on which another order is at work.
	crossed []string
	// silent engines cannot be asked for reports, unlisted ones are gone from
	// the platform's list.
	silent   bool
	unlisted bool
}

func (e *fakeEngine) busy(order backend.Order) bool {
	return slices.ContainsFunc(e.working, func(other backend.Order) bool {
		return other.Model == order.Model && other.Adapter == order.Adapter && other.Version == order.Version
	})
}

func (e *fakeEngine) incarnation() ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("%s/%d", e.info.Name, e.life))
}

// take carries out an order's start. An engine that ignores fencing looks
// neither at its fencing number nor at its incarnation.
func (e *fakeEngine) take(order backend.Order) {
	if e.known[order.ID] {
		return
	}
	if e.checks && (order.Incarnation != e.incarnation() || order.Fencing < e.fencing) {
		return
	}
	e.known[order.ID] = true
	e.fencing = max(e.fencing, order.Fencing)
	index := e.find(order)
	if e.busy(order) {
		e.crossed = append(e.crossed, fmt.Sprint(order))
	}
	switch {
	case isUnload(order) && index < 0:
		e.settle(order.ID, backend.OrderRefused)
	case isUnload(order):
		e.residents[index].Ready = false
		e.working = append(e.working, order)
	case index >= 0:
		e.doubled = append(e.doubled, fmt.Sprint(order))
		e.settle(order.ID, backend.OrderRefused)
	default:
		e.residents = append(e.residents, backend.Resident{
			Model:   order.Model,
			Adapter: order.Adapter,
			Version: order.Version,
			Memory:  order.Memory,
		})
		e.working = append(e.working, order)
	}
}

func isUnload(order backend.Order) bool {
	return order.Kind == backend.UnloadModel || order.Kind == backend.UnloadAdapter
}

func (e *fakeEngine) find(order backend.Order) int {
	return slices.IndexFunc(e.residents, func(resident backend.Resident) bool {
		return resident.Model == order.Model && resident.Adapter == order.Adapter && resident.Version == order.Version
	})
}

// finish ends one order that is being carried out.
func (e *fakeEngine) finish(index int, failed bool) {
	order := e.working[index]
	e.working = slices.Delete(e.working, index, index+1)
	at := e.find(order)
	switch {
	case isUnload(order) && failed:
		e.residents[at].Ready = true
		e.settle(order.ID, backend.OrderFailed)
		return
	case isUnload(order):
		e.residents = slices.Delete(e.residents, at, at+1)
	case failed:
		e.residents = slices.Delete(e.residents, at, at+1)
		e.settle(order.ID, backend.OrderFailed)
		return
	default:
		e.residents[at].Ready = true
	}
	e.settle(order.ID, backend.OrderDone)
}

func (e *fakeEngine) settle(id ident.OrderID, result backend.OrderResult) {
	e.settled = append(e.settled, backend.SettledOrder{
		ID:     id,
		Result: result,
	})
	e.settled = e.settled[max(0, len(e.settled)-settledKept):]
}

// report takes a report; each has a later instant than the one before.
func (e *fakeEngine) report() *backend.Report {
	e.reports++
	return &backend.Report{
		Server:        e.info.Name,
		Incarnation:   e.incarnation(),
		At:            epoch.Add(time.Duration(e.reports) * time.Millisecond),
		Memory:        e.memory,
		Residents:     slices.Clone(e.residents),
		ChecksFencing: e.checks,
		Fencing:       e.fencing,
		Settled:       slices.Clone(e.settled),
		Leaving:       e.leaving,
	}
}
