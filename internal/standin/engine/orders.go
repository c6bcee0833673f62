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
	// settledKept bounds the settled orders in a report, seenKept the order ids
	// that are known as executed.
	settledKept = 256
	seenKept    = 1 << 16
	// loadAnswerLimit bounds the weight store's answer.
	loadAnswerLimit = 4 << 10
)

// orderSet remembers the newest seenKept order ids.
type orderSet struct {
	ids   map[ident.OrderID]struct{}
	order []ident.OrderID
}

// add tells whether the id is new.
func (s *orderSet) add(id ident.OrderID) bool {
	if _, seen := s.ids[id]; seen {
		return false
	}
	if s.ids == nil {
		s.ids = make(map[ident.OrderID]struct{})
	}
	s.ids[id] = struct{}{}
	s.order = append(s.order, id)
	if len(s.order) > seenKept {
		delete(s.ids, s.order[0])
		s.order = s.order[1:]
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
	e.ledger.orderReceived()
	answer := e.receive(order)
	status := http.StatusAccepted
	if !answer.Accepted {
		status = http.StatusConflict
	}
	body, err = engineapi.EncodeOrderAnswer(answer)
	server.WriteJSON(w, status, body, err)
}

func (e *Engine) receive(order backend.Order) engineapi.OrderAnswer {
	accepted := engineapi.OrderAnswer{
		Accepted: true,
	}
	life := e.current()
	if e.Faults.Take(func(f *Faults) *int { return &f.LoseOrders }) {
		return accepted
	}
	if e.Faults.Take(func(f *Faults) *int { return &f.DelayOrders }) {
		delay := time.Duration(e.Faults.Get().DelayOrdersBy)
		e.server.Go(func() error {
			if server.Pause(life.ctx, delay) {
				// The report says how it ends, as for any order.
				_ = life.takeOrder(order)
			}
			return nil
		})
		return accepted
	}
	if err := life.takeOrder(order); err != nil {
		return engineapi.OrderAnswer{
			Reason: err.Error(),
		}
	}
	return accepted
}

// takeOrder carries an order out, or says why the engine refuses it.
func (l *life) takeOrder(order backend.Order) error {
	checks := l.engine.checksFencing()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.seen.add(order.ID) {
		return errors.New("order was executed before")
	}
	if checks {
		if err := l.checkFencing(order); err != nil {
			l.settle(backend.OrderRefused, order.ID)
			return err
		}
	}
	l.fencing = max(l.fencing, order.Fencing)
	switch order.Kind {
	case backend.LoadModel, backend.LoadAdapter:
		l.orderLoad(order)
	case backend.UnloadModel, backend.UnloadAdapter:
		l.orderUnload(order)
	}
	return nil
}

func (l *life) checkFencing(order backend.Order) error {
	if order.Incarnation != l.incarnation {
		return errors.Errorf("order is for incarnation %q", order.Incarnation)
	}
	if order.Fencing < l.fencing {
		return errors.Errorf("fencing number %d is smaller than %d", order.Fencing, l.fencing)
	}
	return nil
}

// settle is called with mu held.
func (l *life) settle(result backend.OrderResult, ids ...ident.OrderID) {
	for _, id := range ids {
		l.settled = append(l.settled, backend.SettledOrder{
			ID:     id,
			Result: result,
		})
	}
	if over := len(l.settled) - settledKept; over > 0 {
		l.settled = slices.Delete(l.settled, 0, over)
	}
}

// resident is called with mu held.
func (l *life) resident(order *backend.Order) *resident {
	at := slices.IndexFunc(l.residents, func(weights *resident) bool {
		return weights.is(order.Model, order.Adapter, order.Version)
	})
	if at < 0 {
		return nil
	}
	return l.residents[at]
}

// orderLoad is called with mu held.
func (l *life) orderLoad(order backend.Order) {
	if weights := l.resident(&order); weights != nil {
		l.orderLoadAgain(weights, order.ID)
		return
	}
	if !l.fits(&order) {
		l.settle(backend.OrderFailed, order.ID)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	weights := &resident{
		Resident: backend.Resident{
			Model:   order.Model,
			Adapter: order.Adapter,
			Version: order.Version,
			Memory:  order.Memory,
		},
		loads:  []ident.OrderID{order.ID},
		cancel: cancel,
	}
	l.residents = append(l.residents, weights)
	l.engine.server.Go(func() error {
		defer cancel()
		l.loaded(weights, l.engine.fetch(ctx, &order))
		return nil
	})
}

func (l *life) orderLoadAgain(weights *resident, id ident.OrderID) {
	switch {
	case weights.unloading:
		l.settle(backend.OrderFailed, id)
	case weights.Ready:
		l.settle(backend.OrderDone, id)
	default:
		weights.loads = append(weights.loads, id)
	}
}

// fits checks what a load needs; it is called with mu held. A load over the
// free memory is what the system must never order: it is counted, since an
// engine that obeyed would have died of it.
func (l *life) fits(order *backend.Order) bool {
	if order.Kind == backend.LoadAdapter {
		adapter := resident{
			Resident: backend.Resident{
				Model:   order.Model,
				Adapter: order.Adapter,
			},
		}
		if l.base(&adapter) == nil {
			return false
		}
	}
	if l.taken()+order.Memory > l.engine.options.Memory {
		l.engine.ledger.overcommitted()
		return false
	}
	return true
}

// fetch passes the time of a load.
func (e *Engine) fetch(ctx context.Context, order *backend.Order) error {
	if e.options.Weights == "" {
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
	status, _, err := e.loads.Fetch(httpsend.Request{
		Context: ctx,
		Method:  http.MethodPost,
		Address: e.options.Weights,
		Path:    engineapi.PathLoads,
		Body:    body,
	}, loadAnswerLimit)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return errors.Errorf("weight store: status %d", status)
	}
	return nil
}

// loaded ends a load. Weights that were ordered out meanwhile are gone already.
func (l *life) loaded(weights *resident, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.residents, weights) {
		return
	}
	if err != nil {
		weights.unloading = true
		l.drop(weights)
		return
	}
	weights.Ready = true
	l.settle(backend.OrderDone, weights.loads...)
	weights.loads = nil
}

// orderUnload is called with mu held. The memory is free when the last run on
// the weights ends: no request in flight is cut.
func (l *life) orderUnload(order backend.Order) {
	weights := l.resident(&order)
	if weights == nil {
		l.settle(backend.OrderDone, order.ID)
		return
	}
	weights.unloads = append(weights.unloads, order.ID)
	l.unload(weights)
	if order.Kind == backend.UnloadModel {
		l.unloadOrphans(order.Model)
	}
}

func (l *life) unload(weights *resident) {
	weights.unloading = true
	weights.Ready = false
	weights.cancel()
	l.drop(weights)
}

// unloadOrphans drops the adapters of a model of which no version stays.
func (l *life) unloadOrphans(model ident.ModelName) {
	stays := func(weights *resident) bool {
		return weights.Model == model && weights.Adapter == "" && !weights.unloading
	}
	if slices.ContainsFunc(l.residents, stays) {
		return
	}
	for _, weights := range slices.Clone(l.residents) {
		if weights.Model == model && weights.Adapter != "" {
			l.unload(weights)
		}
	}
}
