package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	settings "cicadaloom/internal/config/gateway"
	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/locality"
	"cicadaloom/internal/domain/ident"
)

// spillMode translates the setting.
func spillMode(spill settings.Spill) balance.SpillMode {
	switch spill {
	case settings.SpillUneven:
		return balance.SpillUneven
	case settings.SpillOn:
		return balance.SpillOn
	default:
		return balance.SpillOff
	}
}

// spillReporter logs and exports which requests leave the data centre.
type spillReporter struct {
	// leaving are the services of which requests leave, changes the changes counted so far.
	leaving map[ident.ServiceName]bool
	changes map[ident.ServiceName]int
	// destinations are the data centres for which a share has been exported, by service.
	destinations map[ident.ServiceName]map[ident.DataCentre]bool
}

// update exports the shares of all services, and logs where leaving has started or ended.
func (r *spillReporter) update(now time.Time, pools map[ident.ServiceName]*balance.Pool, set *metrics.Set, log *zap.Logger) {
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		state := pools[service].Spill(now)
		r.export(service, &state, set)
		isLeaving := state.Leaving > 0
		switch {
		case isLeaving && !r.leaving[service]:
			log.Info("requests leave the data centre", zap.String("Service", string(service)),
				zap.Float64("Share", state.Leaving), zap.Any("Shares", sharesByName(state.Shares)))
		case !isLeaving && r.leaving[service]:
			log.Info("requests stay in the data centre again", zap.String("Service", string(service)))
		}
		if r.leaving == nil {
			r.leaving = make(map[ident.ServiceName]bool)
		}
		r.leaving[service] = isLeaving
	}
}

// export sets the share of each data centre that has had one, and counts the changes.
func (r *spillReporter) export(service ident.ServiceName, state *balance.Spill, set *metrics.Set) {
	if r.destinations == nil {
		r.destinations = make(map[ident.ServiceName]map[ident.DataCentre]bool)
		r.changes = make(map[ident.ServiceName]int)
	}
	shares := make(map[ident.DataCentre]float64, len(state.Shares))
	for _, share := range state.Shares {
		if r.destinations[service] == nil {
			r.destinations[service] = make(map[ident.DataCentre]bool)
		}
		r.destinations[service][share.DataCentre] = true
		shares[share.DataCentre] = share.Part
	}
	for destination := range r.destinations[service] {
		name := fmt.Sprintf("cicadaloom_locality_share{service=%q,data_centre=%q}", service, destination)
		set.GetOrCreateGauge(name, nil).Set(shares[destination])
	}
	if added := state.Changes - r.changes[service]; added > 0 {
		set.GetOrCreateCounter(fmt.Sprintf("cicadaloom_locality_changes_total{service=%q}", service)).Add(added)
		r.changes[service] = state.Changes
	}
}

func sharesByName(shares []locality.Share) map[ident.DataCentre]float64 {
	byName := make(map[ident.DataCentre]float64, len(shares))
	for _, share := range shares {
		byName[share.DataCentre] = share.Part
	}
	return byName
}
