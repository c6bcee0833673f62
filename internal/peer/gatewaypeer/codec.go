package gatewaypeer

import (
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/wire/gatewaypeerpb"
)

func encode(w *Word) *gatewaypeerpb.Word {
	wire := &gatewaypeerpb.Word{
		Host:                 string(w.Host),
		DataCentre:           string(w.DataCentre),
		Region:               string(w.Region),
		ConfigurationVersion: int64(w.Version),
		PackedConfiguration:  w.Packed,
		HolderToken:          int64(w.Token),
		OrdersEnded:          int64(max(time.Since(w.LastOrder), 0)),
		WantsFleet:           w.WantsFleet,
		WantsHoldings:        w.WantsHoldings,
		FleetKnown:           int64(w.FleetKnown),
		HoldingsKnown:        encodeMark(w.HoldingsKnown),
		StoreHeard:           ago(w.StoreHeard),
		StoreFailed:          ago(w.StoreFailed),
	}
	for i := range w.Demand {
		wire.Demand = append(wire.Demand, encodeDemand(&w.Demand[i]))
	}
	for _, gift := range w.Gifts {
		wire.Gifts = append(wire.Gifts, &gatewaypeerpb.Gift{
			Service: string(gift.Service),
			Retries: int64(gift.Retries),
		})
	}
	if w.Fleet != nil {
		wire.Fleet = encodeFleet(w.Fleet)
	}
	if w.Holdings != nil {
		wire.Holdings = encodeHoldings(w.Holdings)
	}
	for i := range w.Suspects {
		wire.Suspects = append(wire.Suspects, encodeSuspect(&w.Suspects[i]))
	}
	return wire
}

func decode(wire *gatewaypeerpb.Word) Word {
	now := time.Now()
	word := Word{
		Host:       ident.HostID(wire.GetHost()),
		DataCentre: ident.DataCentre(wire.GetDataCentre()),
		Region:     ident.Region(wire.GetRegion()),
		Version:    route.Version(wire.GetConfigurationVersion()),
		Packed:     wire.GetPackedConfiguration(),
		Token:      ident.FencingNumber(wire.GetHolderToken()),
		LastOrder:  now.Add(-time.Duration(max(wire.GetOrdersEnded(), 0))),

		WantsFleet:    wire.GetWantsFleet(),
		WantsHoldings: wire.GetWantsHoldings(),
		FleetKnown:    ident.Revision(wire.GetFleetKnown()),
		HoldingsKnown: decodeMark(wire.GetHoldingsKnown()),
		StoreHeard:    instant(now, wire.GetStoreHeard()),
		StoreFailed:   instant(now, wire.GetStoreFailed()),
	}
	for _, one := range wire.GetDemand() {
		word.Demand = append(word.Demand, decodeDemand(one))
	}
	for _, one := range wire.GetGifts() {
		word.Gifts = append(word.Gifts, retries.Gift{
			Service: ident.ServiceName(one.GetService()),
			Retries: int(one.GetRetries()),
		})
	}
	if wire.GetFleet() != nil {
		word.Fleet = decodeFleet(wire.GetFleet())
	}
	if wire.GetHoldings() != nil {
		word.Holdings = decodeHoldings(wire.GetHoldings(), now)
	}
	for _, one := range wire.GetSuspects() {
		word.Suspects = append(word.Suspects, decodeSuspect(one))
	}
	return word
}

func encodeDemand(d *Demand) *gatewaypeerpb.Demand {
	return &gatewaypeerpb.Demand{
		Service:  string(d.Service),
		Model:    string(d.Weights.Model),
		Adapter:  string(d.Weights.Adapter),
		Requests: d.Requests,
		Missed:   d.Missed,
		Waiting:  d.Waiting,
		Work:     d.Work,
	}
}

func decodeDemand(wire *gatewaypeerpb.Demand) Demand {
	return Demand{
		Service: ident.ServiceName(wire.GetService()),
		Weights: request.Weights{
			Model:   ident.ModelName(wire.GetModel()),
			Adapter: ident.AdapterName(wire.GetAdapter()),
		},
		Demand: loading.Demand{
			Requests: wire.GetRequests(),
			Missed:   wire.GetMissed(),
			Waiting:  wire.GetWaiting(),
			Work:     wire.GetWork(),
		},
	}
}

// ago tells an instant by how long ago it was, 0 for the zero instant: hosts' clocks
// differ.
func ago(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(int64(time.Since(at)), 1)
}

// instant reads what ago gave.
func instant(now time.Time, ago int64) time.Time {
	if ago <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ago))
}

func encodeMark(m holdings.Mark) *gatewaypeerpb.Mark {
	return &gatewaypeerpb.Mark{
		Token:   int64(m.Token),
		Changes: m.Changes,
	}
}

func decodeMark(wire *gatewaypeerpb.Mark) holdings.Mark {
	return holdings.Mark{
		Token:   ident.FencingNumber(wire.GetToken()),
		Changes: wire.GetChanges(),
	}
}

func encodeFleet(u *entries.Update) *gatewaypeerpb.Fleet {
	wire := &gatewaypeerpb.Fleet{
		Revision: int64(u.Revision),
		Complete: u.Complete,
		Entries:  make([]*gatewaypeerpb.Entry, 0, len(u.Events)),
	}
	for i := range u.Events {
		event := &u.Events[i]
		wire.Entries = append(wire.Entries, &gatewaypeerpb.Entry{
			Key:      event.Entry.Key,
			Value:    event.Entry.Value,
			Revision: int64(event.Entry.Revision),
			Deleted:  event.Deleted,
		})
	}
	return wire
}

func decodeFleet(wire *gatewaypeerpb.Fleet) *entries.Update {
	update := &entries.Update{
		Revision: ident.Revision(wire.GetRevision()),
		Complete: wire.GetComplete(),
		Events:   make([]store.Event, 0, len(wire.GetEntries())),
	}
	for _, one := range wire.GetEntries() {
		update.Events = append(update.Events, store.Event{
			Entry: store.Entry{
				Key:      one.GetKey(),
				Value:    one.GetValue(),
				Revision: ident.Revision(one.GetRevision()),
			},
			Deleted: one.GetDeleted(),
		})
	}
	return update
}

func encodeHoldings(u *holdings.Update) *gatewaypeerpb.Holdings {
	wire := &gatewaypeerpb.Holdings{
		Mark:    encodeMark(u.Mark),
		Heard:   ago(u.Heard),
		Engines: make([]*gatewaypeerpb.Engine, 0, len(u.Engines)),
	}
	for i := range u.Engines {
		wire.Engines = append(wire.Engines, encodeEngine(&u.Engines[i]))
	}
	return wire
}

func decodeHoldings(wire *gatewaypeerpb.Holdings, now time.Time) *holdings.Update {
	update := &holdings.Update{
		Mark:    decodeMark(wire.GetMark()),
		Heard:   instant(now, wire.GetHeard()),
		Engines: make([]holdings.Engine, 0, len(wire.GetEngines())),
	}
	for _, one := range wire.GetEngines() {
		update.Engines = append(update.Engines, decodeEngine(one))
	}
	return update
}

// encodeEngine gathers what is held by model: an adapter takes no more than its
// name then.
func encodeEngine(e *holdings.Engine) *gatewaypeerpb.Engine {
	wire := &gatewaypeerpb.Engine{
		Server:      string(e.Server),
		Incarnation: string(e.Incarnation),
		Running:     int64(e.Running),
		Waiting:     int64(e.Waiting),
		HeldChanged: e.HeldChanged,
		LoadChanged: e.LoadChanged,
		LoadOnly:    e.LoadOnly,
	}
	byModel := make(map[ident.ModelName]*gatewaypeerpb.Held)
	held := func(name ident.ModelName) *gatewaypeerpb.Held {
		if one, known := byModel[name]; known {
			return one
		}
		one := &gatewaypeerpb.Held{
			Model: string(name),
		}
		byModel[name] = one
		wire.Held = append(wire.Held, one)
		return one
	}
	for _, weights := range e.Holds {
		one := held(weights.Model)
		if weights.Adapter != "" {
			one.Adapters = append(one.Adapters, string(weights.Adapter))
		}
	}
	for _, name := range e.Retiring {
		held(name).Retiring = true
	}
	return wire
}

func decodeEngine(wire *gatewaypeerpb.Engine) holdings.Engine {
	engine := holdings.Engine{
		Holding: loading.Holding{
			Server:      ident.ServerName(wire.GetServer()),
			Incarnation: ident.Incarnation(wire.GetIncarnation()),
			Running:     int(wire.GetRunning()),
			Waiting:     int(wire.GetWaiting()),
		},
		HeldChanged: wire.GetHeldChanged(),
		LoadChanged: wire.GetLoadChanged(),
		LoadOnly:    wire.GetLoadOnly(),
	}
	for _, held := range wire.GetHeld() {
		model := ident.ModelName(held.GetModel())
		engine.Holds = append(engine.Holds, request.Weights{
			Model: model,
		})
		for _, adapter := range held.GetAdapters() {
			engine.Holds = append(engine.Holds, request.Weights{
				Model:   model,
				Adapter: ident.AdapterName(adapter),
			})
		}
		if held.GetRetiring() {
			engine.Retiring = append(engine.Retiring, model)
		}
	}
	return engine
}

func encodeSuspect(s *suspects.Suspect) *gatewaypeerpb.Suspect {
	wire := &gatewaypeerpb.Suspect{
		Fingerprint: uint64(s.Fingerprint),
	}
	for _, death := range s.Deaths {
		wire.Deaths = append(wire.Deaths, &gatewaypeerpb.Death{
			Server:      string(death.Server),
			Incarnation: string(death.Incarnation),
		})
	}
	return wire
}

// suspectLife is how long a peer's word on a suspect counts from its arrival.
const suspectLife = 10 * time.Minute

func decodeSuspect(wire *gatewaypeerpb.Suspect) suspects.Suspect {
	suspect := suspects.Suspect{
		Fingerprint: ident.Fingerprint(wire.GetFingerprint()),
		KeepUntil:   time.Now().Add(suspectLife),
	}
	for _, death := range wire.GetDeaths() {
		suspect.Deaths = append(suspect.Deaths, suspects.Life{
			Server:      ident.ServerName(death.GetServer()),
			Incarnation: ident.Incarnation(death.GetIncarnation()),
		})
	}
	return suspect
}

func encodePrompt(p *pacing.Prompt) *gatewaypeerpb.Prompt {
	wire := &gatewaypeerpb.Prompt{
		Most:       int64(p.Most),
		Clear:      int64(p.Clear),
		Ticket:     uint64(p.Ticket),
		Objective:  int64(time.Until(p.Objective)),
		GiveUp:     int64(time.Until(p.GiveUp)),
		Priority:   int32(p.Priority),
		Holds:      p.Holds,
		Candidates: make([]*gatewaypeerpb.Candidate, 0, len(p.Candidates)),
	}
	for i := range p.Candidates {
		one := &p.Candidates[i]
		wire.Candidates = append(wire.Candidates, &gatewaypeerpb.Candidate{
			Server:  string(one.Server),
			Reading: int64(one.Reading),
			Beside:  int64(one.Beside),
			Places:  int32(one.Places),
		})
	}
	return wire
}

// decodePrompt reads a prompt that came at an instant.
func decodePrompt(wire *gatewaypeerpb.Prompt, came time.Time) pacing.Prompt {
	prompt := pacing.Prompt{
		Most:       time.Duration(wire.GetMost()),
		Clear:      time.Duration(wire.GetClear()),
		Ticket:     pacing.Ticket(wire.GetTicket()),
		Objective:  came.Add(time.Duration(wire.GetObjective())),
		GiveUp:     came.Add(time.Duration(wire.GetGiveUp())),
		Priority:   int(wire.GetPriority()),
		Holds:      wire.GetHolds(),
		Candidates: make([]pacing.Candidate, 0, len(wire.GetCandidates())),
	}
	for _, one := range wire.GetCandidates() {
		prompt.Candidates = append(prompt.Candidates, pacing.Candidate{
			Server:  ident.ServerName(one.GetServer()),
			Reading: time.Duration(one.GetReading()),
			Beside:  time.Duration(one.GetBeside()),
			Places:  int(one.GetPlaces()),
		})
	}
	return prompt
}

// decodeSlot reads a pacer's answer that came at an instant.
func decodeSlot(wire *gatewaypeerpb.Slot, prompt *pacing.Prompt, came time.Time) (pacing.Slot, error) {
	index := int(wire.GetCandidate())
	if index < 0 || index >= len(prompt.Candidates) {
		return pacing.Slot{}, errors.Errorf("slot of candidate %d of %d", index, len(prompt.Candidates))
	}
	chosen := &prompt.Candidates[index]
	ahead := time.Duration(wire.GetAhead())
	return pacing.Slot{
		Server: chosen.Server,
		Index:  index,
		At:     came.Add(time.Duration(wire.GetWait())),
		Cost:   ahead + chosen.Reading + chosen.Beside,
		Ahead:  ahead,
		Booked: wire.GetBooked(),
		Full:   wire.GetFull(),
	}, nil
}
