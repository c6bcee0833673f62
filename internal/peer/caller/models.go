package caller

import (
	"encoding/json"
	"net/http"

	"github.com/uptrace/bunrouter"
)

// models lists all models and adapters that the current documents of this host declare.
func (s *Server) models(w http.ResponseWriter, _ bunrouter.Request) error {
	list := modelList{
		Object: "list",
		Data:   []modelItem{},
	}
	table := s.ControlPlane.Table()
	for _, name := range table.Names() {
		target, _ := table.Target(name)
		list.Data = append(list.Data, modelItem{
			ID:      string(name),
			Object:  "model",
			OwnedBy: string(target.Team),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}
