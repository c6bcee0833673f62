package loading

import (
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// Held is which models an engine holds in one life.
type Held struct {
	Incarnation ident.Incarnation
	Models      []ident.ModelName
}

// Held gives the models of a word on an engine.
func (h *Holding) Held() Held {
	held := Held{
		Incarnation: h.Incarnation,
	}
	for i := range h.Holds {
		if h.Holds[i].Adapter == "" {
			held.Models = append(held.Models, h.Holds[i].Model)
		}
	}
	return held
}

// LoadsSince is how many loads may have begun on an engine since it was known to hold
// something: those of the models that are new, and where the engine has begun anew, the
// one that may have been under way before.
func (h Held) LoadsSince(before Held) int {
	loads := 0
	if h.Incarnation != before.Incarnation {
		loads = 1
		before.Models = nil
	}
	for _, name := range h.Models {
		if !slices.Contains(before.Models, name) {
			loads++
		}
	}
	return loads
}

// heldIn takes the models out of a report.
func heldIn(report *backend.Report) Held {
	held := Held{
		Incarnation: report.Incarnation,
	}
	for i := range report.Residents {
		if report.Residents[i].Adapter == "" {
			held.Models = append(held.Models, report.Residents[i].Model)
		}
	}
	return held
}
