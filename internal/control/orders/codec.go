package orders

import (
	"encoding/json"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/pkg/errors"
)

type wireLeader struct {
	Host    string `json:"Host"`
	Fencing int64  `json:"Fencing"`
}

type wireTerm struct {
	Fencing int64 `json:"Fencing"`
}

type wireHead struct {
	Documents int64 `json:"Documents"`
}

type wirePage struct {
	Servers []wireEntry `json:"Servers"`
}

type wireEntry struct {
	Name        string        `json:"Name"`
	Incarnation string        `json:"Incarnation"`
	Former      []string      `json:"Former,omitempty"`
	AsOf        time.Time     `json:"AsOf"`
	Models      []wireWeights `json:"Models,omitempty"`
	Orders      []wireOrder   `json:"Orders,omitempty"`
}

type wireWeights struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
}

type wireOrder struct {
	ID          string    `json:"ID"`
	Fencing     int64     `json:"Fencing"`
	Incarnation string    `json:"Incarnation"`
	Kind        string    `json:"Kind"`
	Model       string    `json:"Model"`
	Adapter     string    `json:"Adapter,omitempty"`
	Version     string    `json:"Version"`
	Memory      int64     `json:"Memory"`
	WrittenAt   time.Time `json:"WrittenAt"`
}

type leaderValue struct {
	Host    ident.HostID
	Fencing ident.FencingNumber
}

func encodeLeader(host ident.HostID, fencing ident.FencingNumber) []byte {
	return encode(wireLeader{
		Host:    string(host),
		Fencing: int64(fencing),
	})
}

func decodeLeader(value []byte) (leaderValue, error) {
	var wire wireLeader
	if err := json.Unmarshal(value, &wire); err != nil {
		return leaderValue{}, errors.Wrap(err, "leader key")
	}
	return leaderValue{
		Host:    ident.HostID(wire.Host),
		Fencing: ident.FencingNumber(wire.Fencing),
	}, nil
}

func encodeTerm(fencing ident.FencingNumber) []byte {
	return encode(wireTerm{
		Fencing: int64(fencing),
	})
}

func decodeTerm(value []byte) (ident.FencingNumber, error) {
	var wire wireTerm
	if err := json.Unmarshal(value, &wire); err != nil {
		return 0, errors.Wrap(err, "term key")
	}
	return ident.FencingNumber(wire.Fencing), nil
}

func encodeHead(documents ident.Revision) []byte {
	return encode(wireHead{
		Documents: int64(documents),
	})
}

func decodeHead(value []byte) (ident.Revision, error) {
	var wire wireHead
	if err := json.Unmarshal(value, &wire); err != nil {
		return 0, errors.Wrap(err, "head key")
	}
	return ident.Revision(wire.Documents), nil
}

// encode can't fail: the wire structs have only strings, numbers and times.
func encode(wire any) []byte {
	value, err := json.Marshal(wire)
	if err != nil {
		panic(errors.Wrap(err, "plan codec"))
	}
	return value
}

func encodePage(entries []*entry) []byte {
	page := wirePage{
		Servers: make([]wireEntry, 0, len(entries)),
	}
	for _, e := range entries {
		page.Servers = append(page.Servers, toWire(e))
	}
	return encode(page)
}

func toWire(e *entry) wireEntry {
	wire := wireEntry{
		Name:        string(e.Server),
		Incarnation: string(e.Incarnation),
		AsOf:        e.AsOf.UTC(),
	}
	for _, former := range e.Former {
		wire.Former = append(wire.Former, string(former))
	}
	for _, weights := range e.Models {
		wire.Models = append(wire.Models, wireWeights{
			Model:   string(weights.Model),
			Version: string(weights.Version),
		})
	}
	for i := range e.Orders {
		wire.Orders = append(wire.Orders, orderToWire(&e.Orders[i]))
	}
	return wire
}

func orderToWire(o *order) wireOrder {
	return wireOrder{
		ID:          string(o.ID),
		Fencing:     int64(o.Fencing),
		Incarnation: string(o.Incarnation),
		Kind:        string(o.Kind),
		Model:       string(o.Model),
		Adapter:     string(o.Adapter),
		Version:     string(o.Version),
		Memory:      int64(o.Memory),
		WrittenAt:   o.WrittenAt.UTC(),
	}
}

func decodePage(value []byte) ([]entry, error) {
	var page wirePage
	if err := json.Unmarshal(value, &page); err != nil {
		return nil, errors.Wrap(err, "plan page")
	}
	entries := make([]entry, 0, len(page.Servers))
	for i := range page.Servers {
		entries = append(entries, fromWire(&page.Servers[i]))
	}
	return entries, nil
}

func fromWire(wire *wireEntry) entry {
	e := entry{
		Server:      ident.ServerName(wire.Name),
		Incarnation: ident.Incarnation(wire.Incarnation),
		AsOf:        wire.AsOf,
	}
	for _, former := range wire.Former {
		e.Former = append(e.Former, ident.Incarnation(former))
	}
	for _, weights := range wire.Models {
		e.Models = append(e.Models, placement.Weights{
			Model:   ident.ModelName(weights.Model),
			Version: ident.Version(weights.Version),
		})
	}
	for i := range wire.Orders {
		e.Orders = append(e.Orders, orderFromWire(&wire.Orders[i]))
	}
	return e
}

func orderFromWire(wire *wireOrder) order {
	return order{
		Order: backend.Order{
			ID:          ident.OrderID(wire.ID),
			Fencing:     ident.FencingNumber(wire.Fencing),
			Incarnation: ident.Incarnation(wire.Incarnation),
			Kind:        backend.OrderKind(wire.Kind),
			Model:       ident.ModelName(wire.Model),
			Adapter:     ident.AdapterName(wire.Adapter),
			Version:     ident.Version(wire.Version),
			Memory:      unit.Bytes(wire.Memory),
		},
		WrittenAt: wire.WrittenAt,
	}
}
