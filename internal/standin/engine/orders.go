package engine

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

const (
	// maxSettledOrders bounds the settled orders in a report, maxSeenOrders the
	// order ids that are remembered to detect duplicates.
	maxSettledOrders = 256
	maxSeenOrders    = 1 << 16
	// maxLoadAnswerBytes bounds the weight store's answer.
	maxLoadAnswerBytes = 4 << 10
)

// orderSet remembers the newest maxSeenOrders order ids.
type orderSet struct {
	ids         map[ident.OrderID]struct{}
	oldestFirst []ident.OrderID
}

// add adds an id and reports whether it is new.
func (s *orderSet) add(id ident.OrderID) bool {
	if _, seen := s.ids[id]; seen {
		return false
	}
	if s.ids == nil {
		s.ids = make(map[ident.OrderID]struct{})
	}
	s.ids[id] = struct{}{}
	s.oldestFirst = append(s.oldestFirst, id)
	if len(s.oldestFirst) > maxSeenOrders {
		delete(s.ids, s.oldestFirst[0])
		s.oldestFirst = s.oldestFirst[1:]
	}
	return true
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, ok := server.ReadBody(w, r)
	if !ok {
		return
	}
	order, err := engineapi.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.counters.countOrder()
	answer := e.receiveOrder(order)
	status := http.StatusAccepted
	if !answer.Accepted {
		status = http.StatusConflict
	}
	body, err = engineapi.EncodeOrderAnswer(answer)
	server.WriteJSON(w, status, body, err)
}

func (e *Engine) receiveOrder(order backend.Order) engineapi.OrderAnswer {
	accepted := engineapi.OrderAnswer{
		Accepted: true,
	}
	current := e.current()
	if e.Faults.TakeOne(func(f *Faults) *int { return &f.LoseOrders }) {
		return accepted
	}
	if e.Faults.TakeOne(func(f *Faults) *int { return &f.DelayOrders }) {
		delay := time.Duration(e.Faults.Get().DelayOrdersBy)
		e.server.Go(func() error {
			if server.Pause(current.ctx, delay) {
				// The result of the order is in the report.
				_ = current.executeOrder(order)
			}
			return nil
		})
		return accepted
	}
	if err := current.executeOrder(order); err != nil {
		return engineapi.OrderAnswer{
			Reason: err.Error(),
		}
	}
	return accepted
}

// executeOrder executes an order, or returns why the engine refuses it.
func (inc *incarnation) executeOrder(order backend.Order) error {
	checksFencing := inc.engine.checksFencing()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if !inc.seenOrders.add(order.ID) {
		return errors.New("order was executed before")
	}
	if checksFencing {
		if err := inc.checkFencing(order); err != nil {
			inc.recordSettled(backend.OrderRefused, order.ID)
			return err
		}
	}
	inc.fencing = max(inc.fencing, order.Fencing)
	switch order.Kind {
	case backend.LoadModel, backend.LoadAdapter:
		inc.startLoad(order)
	case backend.UnloadModel, backend.UnloadAdapter:
		inc.startUnload(order)
	}
	return nil
}

func (inc *incarnation) checkFencing(order backend.Order) error {
	if order.Incarnation != inc.id {
		return errors.Errorf("order is for incarnation %q", order.Incarnation)
	}
	if order.Fencing < inc.fencing {
		return errors.Errorf("fencing number %d is smaller than %d", order.Fencing, inc.fencing)
	}
	return nil
}

// recordSettled records the result of orders for the report. The caller holds mu.
func (inc *incarnation) recordSettled(result backend.OrderResult, ids ...ident.OrderID) {
	for _, id := range ids {
		inc.settled = append(inc.settled, backend.SettledOrder{
			ID:     id,
			Result: result,
		})
	}
	if excess := len(inc.settled) - maxSettledOrders; excess > 0 {
		inc.settled = slices.Delete(inc.settled, 0, excess)
	}
}

// findResident returns the weights that an order names, or nil. The caller holds
// mu.
func (inc *incarnation) findResident(order *backend.Order) *resident {
	index := slices.IndexFunc(inc.residents, func(weights *resident) bool {
		return weights.matches(order.Model, order.Adapter, order.Version)
	})
	if index < 0 {
		return nil
	}
	return inc.residents[index]
}

// startLoad reserves the memory of a load order and starts the load. The caller
// holds mu.
func (inc *incarnation) startLoad(order backend.Order) {
	if weights := inc.findResident(&order); weights != nil {
		inc.joinLoad(weights, order.ID)
		return
	}
	if !inc.canLoad(&order) {
		inc.recordSettled(backend.OrderFailed, order.ID)
		return
	}
	ctx, cancel := context.WithCancel(inc.ctx)
	weights := &resident{
		Resident: backend.Resident{
			Model:   order.Model,
			Adapter: order.Adapter,
			Version: order.Version,
			Memory:  order.Memory,
		},
		loadOrders: []ident.OrderID{order.ID},
		cancelLoad: cancel,
	}
	inc.residents = append(inc.residents, weights)
	inc.engine.server.Go(func() error {
		defer cancel()
		inc.finishLoad(weights, inc.engine.fetchWeights(ctx, &order))
		return nil
	})
}

func (inc *incarnation) joinLoad(weights *resident, id ident.OrderID) {
	switch {
	case weights.unloading:
		inc.recordSettled(backend.OrderFailed, id)
	case weights.Ready:
		inc.recordSettled(backend.OrderDone, id)
	default:
		weights.loadOrders = append(weights.loadOrders, id)
	}
}

// canLoad reports whether an adapter's model is ready and the weights fit into the
// free memory. A load over the free memory is counted in Overcommits: the
// scheduler must never order it, since a real engine would crash out of memory.
// The caller holds mu.
func (inc *incarnation) canLoad(order *backend.Order) bool {
	if order.Kind == backend.LoadAdapter {
		adapter := resident{
			Resident: backend.Resident{
				Model:   order.Model,
				Adapter: order.Adapter,
			},
		}
		if inc.findBase(&adapter) == nil {
			return false
		}
	}
	if inc.usedMemory()+order.Memory > inc.engine.options.Memory {
		inc.engine.counters.countOvercommit()
		return false
	}
	return true
}

// fetchWeights waits while the weights are loaded, from the weight store or for
// the fixed delay.
func (e *Engine) fetchWeights(ctx context.Context, order *backend.Order) error {
	if e.options.WeightStore == "" {
		delay := e.options.LoadDelay
		if order.Kind == backend.LoadAdapter {
			delay = e.options.AdapterLoadDelay
		}
		if !server.Pause(ctx, delay) {
			return ctx.Err()
		}
		return nil
	}
	body, err := engineapi.EncodeWeightLoad(engineapi.WeightLoad{
		Model:   order.Model,
		Adapter: order.Adapter,
		Version: order.Version,
		Memory:  order.Memory,
	})
	if err != nil {
		return err
	}
	status, _, err := e.weightsClient.Fetch(httpsend.Request{
		Context: ctx,
		Method:  http.MethodPost,
		Address: e.options.WeightStore,
		Path:    engineapi.PathWeightLoads,
		Body:    body,
	}, maxLoadAnswerBytes)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return errors.Errorf("weight store: status %d", status)
	}
	return nil
}

// finishLoad records the end of a load. Weights that were unloaded meanwhile are
// already removed.
func (inc *incarnation) finishLoad(weights *resident, err error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if !slices.Contains(inc.residents, weights) {
		return
	}
	if err != nil {
		weights.unloading = true
		inc.removeIfUnused(weights)
		return
	}
	weights.Ready = true
	inc.recordSettled(backend.OrderDone, weights.loadOrders...)
	weights.loadOrders = nil
}

// startUnload executes an unload order. The memory is free when the last run on
// the weights ends: no running request is cut. The caller holds mu.
func (inc *incarnation) startUnload(order backend.Order) {
	weights := inc.findResident(&order)
	if weights == nil {
		inc.recordSettled(backend.OrderDone, order.ID)
		return
	}
	weights.unloadOrders = append(weights.unloadOrders, order.ID)
	inc.unload(weights)
	if order.Kind == backend.UnloadModel {
		inc.unloadOrphanAdapters(order.Model)
	}
}

func (inc *incarnation) unload(weights *resident) {
	weights.unloading = true
	weights.Ready = false
	weights.cancelLoad()
	inc.removeIfUnused(weights)
}

// unloadOrphanAdapters unloads a model's adapters if no version of the model stays
// loaded.
func (inc *incarnation) unloadOrphanAdapters(model ident.ModelName) {
	isKept := func(weights *resident) bool {
		return weights.Model == model && weights.Adapter == "" && !weights.unloading
	}
	if slices.ContainsFunc(inc.residents, isKept) {
		return
	}
	for _, weights := range slices.Clone(inc.residents) {
		if weights.Model == model && weights.Adapter != "" {
			inc.unload(weights)
		}
	}
}
