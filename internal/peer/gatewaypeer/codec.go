package gatewaypeer

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/wire/gatewaypeerpb"
)

func encodeMessage(message *Message) *gatewaypeerpb.Word {
	wire := &gatewaypeerpb.Word{
		Host:                 string(message.Host),
		DataCentre:           string(message.DataCentre),
		Region:               string(message.Region),
		ConfigurationVersion: int64(message.ConfigurationVersion),
		PackedConfiguration:  message.PackedConfiguration,
		HolderToken:          int64(message.LeaderToken),
		OrdersEnded:          int64(max(time.Since(message.LastOrderAt), 0)),
		WantsFleet:           message.WantsFleet,
		WantsHoldings:        message.WantsInventory,
		FleetKnown:           int64(message.KnownFleetRevision),
		HoldingsKnown:        encodeCursor(message.KnownInventory),
		StoreHeard:           ago(message.StoreAnsweredAt),
		StoreFailed:          ago(message.StoreFailedAt),
		TakesPacked:          message.TakesPackedFleet,
		PackedFleet:          message.PackedFleet,
	}
	for i := range message.Demand {
		wire.Demand = append(wire.Demand, encodeDemand(&message.Demand[i]))
	}
	for i := range message.Paces {
		wire.Paces = append(wire.Paces, &gatewaypeerpb.Pace{
			Server:      string(message.Paces[i].Server),
			Incarnation: string(message.Paces[i].Incarnation),
			Pace:        float32(message.Paces[i].Reading),
		})
	}
	for _, transfer := range message.TokenTransfers {
		wire.Gifts = append(wire.Gifts, &gatewaypeerpb.Gift{
			Service: string(transfer.Service),
			Retries: int64(transfer.Tokens),
		})
	}
	if message.Fleet != nil {
		wire.Fleet = encodeFleet(message.Fleet)
	}
	if message.Inventory != nil {
		wire.Holdings = encodeInventory(message.Inventory)
	}
	for i := range message.Suspects {
		wire.Suspects = append(wire.Suspects, encodeSuspect(&message.Suspects[i]))
	}
	for _, statement := range message.Brittleness {
		wire.BrittleServices = append(wire.BrittleServices, &gatewaypeerpb.BrittleService{
			Service:     string(statement.Service),
			MaxRefusals: float64(statement.MaxRefusals),
			Age:         ago(statement.StatedAt),
		})
	}
	return wire
}

func decodeMessage(wire *gatewaypeerpb.Word) Message {
	now := time.Now()
	message := Message{
		Host:                 ident.HostID(wire.GetHost()),
		DataCentre:           ident.DataCentre(wire.GetDataCentre()),
		Region:               ident.Region(wire.GetRegion()),
		ConfigurationVersion: route.Version(wire.GetConfigurationVersion()),
		PackedConfiguration:  wire.GetPackedConfiguration(),
		LeaderToken:          ident.FencingNumber(wire.GetHolderToken()),
		LastOrderAt:          now.Add(-time.Duration(max(wire.GetOrdersEnded(), 0))),

		WantsFleet:         wire.GetWantsFleet(),
		WantsInventory:     wire.GetWantsHoldings(),
		KnownFleetRevision: ident.Revision(wire.GetFleetKnown()),
		KnownInventory:     decodeCursor(wire.GetHoldingsKnown()),
		StoreAnsweredAt:    instant(now, wire.GetStoreHeard()),
		StoreFailedAt:      instant(now, wire.GetStoreFailed()),
		TakesPackedFleet:   wire.GetTakesPacked(),
		PackedFleet:        wire.GetPackedFleet(),
	}
	for _, item := range wire.GetDemand() {
		message.Demand = append(message.Demand, decodeDemand(item))
	}
	for _, item := range wire.GetPaces() {
		message.Paces = append(message.Paces, pace.ServerReading{
			Server:      ident.ServerName(item.GetServer()),
			Incarnation: ident.Incarnation(item.GetIncarnation()),
			Reading:     pace.NewReading(float64(item.GetPace())),
		})
	}
	for _, item := range wire.GetGifts() {
		message.TokenTransfers = append(message.TokenTransfers, retries.Transfer{
			Service: ident.ServiceName(item.GetService()),
			Tokens:  int(item.GetRetries()),
		})
	}
	if wire.GetFleet() != nil {
		message.Fleet = decodeFleet(wire.GetFleet())
	}
	if wire.GetHoldings() != nil {
		message.Inventory = decodeInventory(wire.GetHoldings(), now)
	}
	for _, item := range wire.GetSuspects() {
		message.Suspects = append(message.Suspects, decodeSuspect(item))
	}
	for _, item := range wire.GetBrittleServices() {
		if statement, isValid := decodeBrittleness(item, now); isValid {
			message.Brittleness = append(message.Brittleness, statement)
		}
	}
	return message
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

// decodeBrittleness returns false where a peer sends a rate that isn't one.
func decodeBrittleness(wire *gatewaypeerpb.BrittleService, now time.Time) (backend.ServiceBrittleness, bool) {
	statement := backend.ServiceBrittleness{
		Service: ident.ServiceName(wire.GetService()),
		Brittleness: backend.Brittleness{
			MaxRefusals: unit.Rate(wire.GetMaxRefusals()),
			StatedAt:    instant(now, wire.GetAge()),
		},
	}
	rate := wire.GetMaxRefusals()
	return statement, rate >= 0 && !math.IsInf(rate, 1) && !statement.StatedAt.IsZero()
}

// ago encodes an instant as how long ago it was, in nanoseconds, 0 for the zero instant:
// hosts' clocks differ.
func ago(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(int64(time.Since(at)), 1)
}

// instant decodes what ago returned.
func instant(now time.Time, ago int64) time.Time {
	if ago <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ago))
}

func encodeCursor(cursor holdings.Cursor) *gatewaypeerpb.Mark {
	return &gatewaypeerpb.Mark{
		Token:   int64(cursor.FencingNumber),
		Changes: cursor.LastChange,
	}
}

func decodeCursor(wire *gatewaypeerpb.Mark) holdings.Cursor {
	return holdings.Cursor{
		FencingNumber: ident.FencingNumber(wire.GetToken()),
		LastChange:    wire.GetChanges(),
	}
}

// MarshalFleet encodes all entries, so that they are encoded once for many peers.
func MarshalFleet(all *entries.Update) ([]byte, error) {
	text, err := proto.Marshal(encodeFleet(all))
	return text, errors.Wrap(err, "encode entries")
}

// UnmarshalFleet decodes what MarshalFleet returned.
func UnmarshalFleet(text []byte) (*entries.Update, error) {
	var wire gatewaypeerpb.Fleet
	if err := proto.Unmarshal(text, &wire); err != nil {
		return nil, errors.Wrap(err, "decode entries")
	}
	return decodeFleet(&wire), nil
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
	for _, entry := range wire.GetEntries() {
		update.Events = append(update.Events, store.Event{
			Entry: store.Entry{
				Key:      entry.GetKey(),
				Value:    entry.GetValue(),
				Revision: ident.Revision(entry.GetRevision()),
			},
			Deleted: entry.GetDeleted(),
		})
	}
	return update
}

func encodeInventory(u *holdings.Update) *gatewaypeerpb.Holdings {
	wire := &gatewaypeerpb.Holdings{
		Mark:    encodeCursor(u.Cursor),
		Heard:   ago(u.ReportedAt),
		Engines: make([]*gatewaypeerpb.Engine, 0, len(u.Engines)),
	}
	for i := range u.Engines {
		wire.Engines = append(wire.Engines, encodeEngine(&u.Engines[i]))
	}
	return wire
}

func decodeInventory(wire *gatewaypeerpb.Holdings, now time.Time) *holdings.Update {
	update := &holdings.Update{
		Cursor:     decodeCursor(wire.GetMark()),
		ReportedAt: instant(now, wire.GetHeard()),
		Engines:    make([]holdings.Engine, 0, len(wire.GetEngines())),
	}
	for _, engine := range wire.GetEngines() {
		update.Engines = append(update.Engines, decodeEngine(engine))
	}
	return update
}

// encodeEngine groups the inventory by model, so that a model's name isn't repeated for each
// of its adapters.
func encodeEngine(e *holdings.Engine) *gatewaypeerpb.Engine {
	wire := &gatewaypeerpb.Engine{
		Server:      string(e.Server),
		Incarnation: string(e.Incarnation),
		Running:     int64(e.Running),
		Waiting:     int64(e.Waiting),
		HeldChanged: e.InventoryChange,
		LoadChanged: e.LoadChange,
		LoadOnly:    e.LoadOnly,
		Pace:        float32(e.Pace),
	}
	byModel := make(map[ident.ModelName]*gatewaypeerpb.Held)
	entryFor := func(name ident.ModelName) *gatewaypeerpb.Held {
		if entry, known := byModel[name]; known {
			return entry
		}
		entry := &gatewaypeerpb.Held{
			Model: string(name),
		}
		byModel[name] = entry
		wire.Held = append(wire.Held, entry)
		return entry
	}
	for _, weights := range e.Weights {
		entry := entryFor(weights.Model)
		if weights.Adapter != "" {
			entry.Adapters = append(entry.Adapters, string(weights.Adapter))
		}
	}
	for _, name := range e.Retiring {
		entryFor(name).Retiring = true
	}
	return wire
}

func decodeEngine(wire *gatewaypeerpb.Engine) holdings.Engine {
	engine := holdings.Engine{
		Inventory: loading.Inventory{
			Server:      ident.ServerName(wire.GetServer()),
			Incarnation: ident.Incarnation(wire.GetIncarnation()),
			Running:     int(wire.GetRunning()),
			Waiting:     int(wire.GetWaiting()),
			Pace:        pace.NewReading(float64(wire.GetPace())),
		},
		InventoryChange: wire.GetHeldChanged(),
		LoadChange:      wire.GetLoadChanged(),
		LoadOnly:        wire.GetLoadOnly(),
	}
	for _, held := range wire.GetHeld() {
		model := ident.ModelName(held.GetModel())
		engine.Weights = append(engine.Weights, request.Weights{
			Model: model,
		})
		for _, adapter := range held.GetAdapters() {
			engine.Weights = append(engine.Weights, request.Weights{
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
		Left:        int64(time.Until(s.KeepUntil)),
		Subject:     gatewaypeerpb.Subject(s.Subject),
		Harmless:    s.IsHarmless,
	}
	for _, crash := range s.Crashes {
		wire.Deaths = append(wire.Deaths, &gatewaypeerpb.Death{
			Server:      string(crash.Server),
			Incarnation: string(crash.Incarnation),
		})
	}
	return wire
}

// suspectTTL is how long a suspect counts from its arrival if the peer does not say.
const suspectTTL = 10 * time.Minute

func decodeSuspect(wire *gatewaypeerpb.Suspect) suspects.Suspect {
	left := time.Duration(wire.GetLeft())
	if left == 0 {
		left = suspectTTL
	}
	suspect := suspects.Suspect{
		Fingerprint: ident.Fingerprint(wire.GetFingerprint()),
		Subject:     suspects.Subject(wire.GetSubject()),
		IsHarmless:  wire.GetHarmless(),
		KeepUntil:   time.Now().Add(left),
	}
	for _, crash := range wire.GetDeaths() {
		suspect.Crashes = append(suspect.Crashes, suspects.ServerIncarnation{
			Server:      ident.ServerName(crash.GetServer()),
			Incarnation: ident.Incarnation(crash.GetIncarnation()),
		})
	}
	return suspect
}

func encodePrompt(p *pacing.Prompt) *gatewaypeerpb.Prompt {
	wire := &gatewaypeerpb.Prompt{
		Most:       int64(p.MaxCost),
		Clear:      int64(p.PrefillGap),
		Ticket:     uint64(p.Ticket),
		Objective:  int64(time.Until(p.Objective)),
		GiveUp:     int64(time.Until(p.AbandonAt)),
		Priority:   int32(p.Priority),
		Holds:      p.MayWait,
		Candidates: make([]*gatewaypeerpb.Candidate, 0, len(p.Candidates)),
	}
	for i := range p.Candidates {
		candidate := &p.Candidates[i]
		wire.Candidates = append(wire.Candidates, &gatewaypeerpb.Candidate{
			Server:  string(candidate.Server),
			Reading: int64(candidate.PrefillTime),
			Beside:  int64(candidate.OtherCost),
			Places:  int32(candidate.Slots),
			Answer:  int64(candidate.AnswerCost),
		})
	}
	return wire
}

// decodePrompt decodes a prompt that arrived at an instant.
func decodePrompt(wire *gatewaypeerpb.Prompt, arrivedAt time.Time) pacing.Prompt {
	prompt := pacing.Prompt{
		MaxCost:    time.Duration(wire.GetMost()),
		PrefillGap: time.Duration(wire.GetClear()),
		Ticket:     pacing.Ticket(wire.GetTicket()),
		Objective:  arrivedAt.Add(time.Duration(wire.GetObjective())),
		AbandonAt:  arrivedAt.Add(time.Duration(wire.GetGiveUp())),
		Priority:   int(wire.GetPriority()),
		MayWait:    wire.GetHolds(),
		Candidates: make([]pacing.Candidate, 0, len(wire.GetCandidates())),
	}
	for _, candidate := range wire.GetCandidates() {
		prompt.Candidates = append(prompt.Candidates, pacing.Candidate{
			Server:      ident.ServerName(candidate.GetServer()),
			PrefillTime: time.Duration(candidate.GetReading()),
			OtherCost:   time.Duration(candidate.GetBeside()),
			Slots:       int(candidate.GetPlaces()),
			AnswerCost:  time.Duration(candidate.GetAnswer()),
		})
	}
	return prompt
}

// decodeReservation decodes a scheduler's answer that arrived at an instant.
func decodeReservation(wire *gatewaypeerpb.Slot, prompt *pacing.Prompt, arrivedAt time.Time) (pacing.Reservation, error) {
	index := int(wire.GetCandidate())
	if index < 0 || index >= len(prompt.Candidates) {
		return pacing.Reservation{}, errors.Errorf("reservation at candidate %d of %d", index, len(prompt.Candidates))
	}
	chosen := &prompt.Candidates[index]
	ahead := time.Duration(wire.GetAhead())
	return pacing.Reservation{
		Server:     chosen.Server,
		Index:      index,
		SendAt:     arrivedAt.Add(time.Duration(wire.GetWait())),
		Cost:       ahead + chosen.PrefillTime + chosen.OtherCost,
		StartDelay: ahead,
		Booked:     wire.GetBooked(),
		QueueFull:  wire.GetFull(),
	}, nil
}
