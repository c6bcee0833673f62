package orders

import (
	"cmp"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/ident"
)

type regionDemand struct {
	model  ident.ModelName
	region ident.Region
}

func compareRates(a, b placement.Rate) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Region, b.Region),
	)
}
