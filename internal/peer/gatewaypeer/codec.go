package gatewaypeer

import (
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
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
	}
	for i := range w.Demand {
		wire.Demand = append(wire.Demand, encodeDemand(&w.Demand[i]))
	}
	for i := range w.Engines {
		wire.Engines = append(wire.Engines, encodeEngine(&w.Engines[i]))
	}
	for i := range w.Suspects {
		wire.Suspects = append(wire.Suspects, encodeSuspect(&w.Suspects[i]))
	}
	return wire
}

func decode(wire *gatewaypeerpb.Word) Word {
	word := Word{
		Host:       ident.HostID(wire.GetHost()),
		DataCentre: ident.DataCentre(wire.GetDataCentre()),
		Region:     ident.Region(wire.GetRegion()),
		Version:    route.Version(wire.GetConfigurationVersion()),
		Packed:     wire.GetPackedConfiguration(),
		Token:      ident.FencingNumber(wire.GetHolderToken()),
		LastOrder:  time.Now().Add(-time.Duration(max(wire.GetOrdersEnded(), 0))),
	}
	for _, one := range wire.GetDemand() {
		word.Demand = append(word.Demand, decodeDemand(one))
	}
	for _, one := range wire.GetEngines() {
		word.Engines = append(word.Engines, decodeEngine(one))
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

// encodeEngine gathers what is held by model: an adapter takes no more than its
// name then.
func encodeEngine(e *Engine) *gatewaypeerpb.Engine {
	wire := &gatewaypeerpb.Engine{
		Service:     string(e.Service),
		Server:      string(e.Server),
		Incarnation: string(e.Incarnation),
		Running:     int64(e.Running),
		Waiting:     int64(e.Waiting),
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

func decodeEngine(wire *gatewaypeerpb.Engine) Engine {
	engine := Engine{
		Service: ident.ServiceName(wire.GetService()),
		Holding: loading.Holding{
			Server:      ident.ServerName(wire.GetServer()),
			Incarnation: ident.Incarnation(wire.GetIncarnation()),
			Running:     int(wire.GetRunning()),
			Waiting:     int(wire.GetWaiting()),
		},
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
