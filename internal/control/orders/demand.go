package orders

import (
	"cmp"
	"slices"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/ident"
)

type demandKey struct {
	model      ident.ModelName
	dataCentre ident.DataCentre
}

type regionDemandKey struct {
	model  ident.ModelName
	region ident.Region
}

func compareRates(a, b placement.Rate) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Region, b.Region),
	)
}

// regionalRates sums the rates of data centres by region.
func (m *Machine) regionalRates() []placement.Rate {
	regions := make(map[ident.DataCentre]ident.Region)
	for _, srv := range m.servers {
		if srv.listed {
			regions[srv.info.DataCentre] = srv.info.Region
		}
	}
	sums := make(map[regionDemandKey]DemandRate)
	for key, rate := range m.demand {
		region, found := regions[key.dataCentre]
		if !found {
			continue
		}
		sumKey := regionDemandKey{
			model:  key.model,
			region: region,
		}
		sum := sums[sumKey]
		sum.PerSecond += rate.PerSecond
		sum.ReplicaPerSecond = max(sum.ReplicaPerSecond, rate.ReplicaPerSecond)
		sums[sumKey] = sum
	}
	rates := make([]placement.Rate, 0, len(sums))
	for key, sum := range sums {
		rates = append(rates, placement.Rate{
			Model:                    key.model,
			Region:                   key.region,
			RequestsPerSecond:        sum.PerSecond,
			ReplicaRequestsPerSecond: sum.ReplicaPerSecond,
		})
	}
	slices.SortFunc(rates, compareRates)
	return rates
}

func (m *Machine) onDemand(event Demand) {
	for _, rate := range event.Rates {
		key := demandKey{
			model:      rate.Model,
			dataCentre: rate.DataCentre,
		}
		if rate.PerSecond <= 0 {
			delete(m.demand, key)
			continue
		}
		m.demand[key] = rate
	}
}
