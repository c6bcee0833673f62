package loading

import (
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// Held is the set of models that an engine has in one incarnation.
type Held struct {
	Incarnation ident.Incarnation
	Models      []ident.ModelName
}

// Held returns the models of an engine, without adapters.
func (h *Holding) Held() Held {
	loaded := Held{
		Incarnation: h.Incarnation,
	}
	for i := range h.Holds {
		if h.Holds[i].Adapter == "" {
			loaded.Models = append(loaded.Models, h.Holds[i].Model)
		}
	}
	return loaded
}

// LoadsSince returns how many model loads may have started on an engine since an earlier
// state: one for each new model, and if the engine has restarted, one more for a load that
// may have been in progress before.
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

// modelsInReport returns the models of a report, without adapters.
func modelsInReport(report *backend.Report) Held {
	loaded := Held{
		Incarnation: report.Incarnation,
	}
	for i := range report.Residents {
		if report.Residents[i].Adapter == "" {
			loaded.Models = append(loaded.Models, report.Residents[i].Model)
		}
	}
	return loaded
}
