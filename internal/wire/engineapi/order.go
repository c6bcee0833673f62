package engineapi

import (
	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

type wireOrder struct {
	ID          string
	Fencing     int64
	Incarnation string
	Kind        string
	Model       string
	Adapter     string
	Version     string
	Memory      int64
}

// OrderAnswer is an engine's answer to an order.
type OrderAnswer struct {
	// Accepted says that the engine will carry out the order; its report says with what
	// result.
	Accepted bool
	Reason   string
}

type wireOrderAnswer struct {
	Accepted bool
	Reason   string `json:",omitempty"`
}

// EncodeOrder encodes the body for PathOrders.
func EncodeOrder(order backend.Order) ([]byte, error) {
	return encode(wireOrder{
		ID:          string(order.ID),
		Fencing:     int64(order.Fencing),
		Incarnation: string(order.Incarnation),
		Kind:        string(order.Kind),
		Model:       string(order.Model),
		Adapter:     string(order.Adapter),
		Version:     string(order.Version),
		Memory:      int64(order.Memory),
	}, "order")
}

// DecodeOrder decodes an order. It fails if the order has no id, an unknown kind, no
// model, no adapter although its kind needs one (or one although it does not), or a
// memory below 0.
func DecodeOrder(body []byte) (backend.Order, error) {
	wire, err := decode[wireOrder](body, "order")
	if err != nil {
		return backend.Order{}, err
	}
	if err := wire.validate(); err != nil {
		return backend.Order{}, errors.Wrap(err, "order")
	}
	return backend.Order{
		ID:          ident.OrderID(wire.ID),
		Fencing:     ident.FencingNumber(wire.Fencing),
		Incarnation: ident.Incarnation(wire.Incarnation),
		Kind:        backend.OrderKind(wire.Kind),
		Model:       ident.ModelName(wire.Model),
		Adapter:     ident.AdapterName(wire.Adapter),
		Version:     ident.Version(wire.Version),
		Memory:      unit.Bytes(wire.Memory),
	}, nil
}

func (w *wireOrder) validate() error {
	if w.ID == "" || w.Model == "" {
		return errors.New("ID, Model: found none")
	}
	if w.Memory < 0 {
		return errors.Errorf("Memory: found %d, allowed at least 0", w.Memory)
	}
	switch backend.OrderKind(w.Kind) {
	case backend.LoadModel, backend.UnloadModel:
		if w.Adapter != "" {
			return errors.Errorf("Adapter: found %q, allowed none for %s", w.Adapter, w.Kind)
		}
	case backend.LoadAdapter, backend.UnloadAdapter:
		if w.Adapter == "" {
			return errors.Errorf("Adapter: found none, %s needs one", w.Kind)
		}
	default:
		return errors.Errorf("Kind: found %q", w.Kind)
	}
	return nil
}

// EncodeOrderAnswer encodes the answer to an order.
func EncodeOrderAnswer(answer OrderAnswer) ([]byte, error) {
	return encode(wireOrderAnswer(answer), "order answer")
}

// DecodeOrderAnswer decodes the answer to an order.
func DecodeOrderAnswer(body []byte) (OrderAnswer, error) {
	wire, err := decode[wireOrderAnswer](body, "order answer")
	return OrderAnswer(wire), err
}

// CacheEvents are events of the prefix cache of one engine incarnation.
type CacheEvents struct {
	Incarnation ident.Incarnation
	Events      []backend.CacheEvent
}

type wireCacheEvents struct {
	Incarnation string
	Events      []wireCacheEvent
}

type wireCacheEvent struct {
	Number int64
	Model  string
	Prefix uint64
	Stored bool
}

// EncodeCacheEvents encodes the answer to PathCacheEvents.
func EncodeCacheEvents(events CacheEvents) ([]byte, error) {
	wire := wireCacheEvents{
		Incarnation: string(events.Incarnation),
		Events:      make([]wireCacheEvent, 0, len(events.Events)),
	}
	for _, event := range events.Events {
		wire.Events = append(wire.Events, wireCacheEvent{
			Number: event.Number,
			Model:  string(event.Model),
			Prefix: event.Prefix,
			Stored: event.Stored,
		})
	}
	return encode(wire, "cache events")
}

// DecodeCacheEvents decodes cache events. It fails unless their numbers are positive
// and increase.
func DecodeCacheEvents(body []byte) (CacheEvents, error) {
	wire, err := decode[wireCacheEvents](body, "cache events")
	if err != nil {
		return CacheEvents{}, err
	}
	events := CacheEvents{
		Incarnation: ident.Incarnation(wire.Incarnation),
	}
	var last int64
	for _, event := range wire.Events {
		if event.Number <= last {
			return CacheEvents{}, errors.Errorf("cache events: number %d after %d", event.Number, last)
		}
		last = event.Number
		events.Events = append(events.Events, backend.CacheEvent{
			Number: event.Number,
			Model:  ident.ModelName(event.Model),
			Prefix: event.Prefix,
			Stored: event.Stored,
		})
	}
	return events, nil
}
