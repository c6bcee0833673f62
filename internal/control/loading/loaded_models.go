package loading

import (
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// LoadedModels is the set of models that an engine has in one incarnation.
type LoadedModels struct {
	Incarnation ident.Incarnation
	Models      []ident.ModelName
}

// LoadedModels returns the models of an engine, without adapters.
func (h *Inventory) LoadedModels() LoadedModels {
	loaded := LoadedModels{
		Incarnation: h.Incarnation,
	}
	for i := range h.Weights {
		if h.Weights[i].Adapter == "" {
			loaded.Models = append(loaded.Models, h.Weights[i].Model)
		}
	}
	return loaded
}

// CountLoadsSince returns how many model loads may have started on an engine since an earlier
// state: one for each new model, and if the engine has restarted, one more for a load that
// may have been in progress before.
func (h LoadedModels) CountLoadsSince(before LoadedModels) int {
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
func modelsInReport(report *backend.Report) LoadedModels {
	return LoadedModels{
		Incarnation: report.Incarnation,
		Models:      modelsOf(report.Residents),
	}
}

// modelsOf returns the models among some weights.
func modelsOf(residents []backend.Resident) []ident.ModelName {
	var models []ident.ModelName
	for i := range residents {
		if residents[i].Adapter == "" {
			models = append(models, residents[i].Model)
		}
	}
	return models
}
