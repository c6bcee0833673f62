package standin

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/unit"
)

// units are in matching order: B is last, since all suffixes end in B.
var units = []struct {
	suffix string
	size   unit.Bytes
}{
	{suffix: "KiB", size: unit.Kibibyte},
	{suffix: "MiB", size: unit.Mebibyte},
	{suffix: "GiB", size: unit.Gibibyte},
	{suffix: "B", size: unit.Byte},
}

// parseBytes parses a whole number with a unit, such as 80GiB.
func parseBytes(text string) (unit.Bytes, error) {
	for _, known := range units {
		number, found := strings.CutSuffix(text, known.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(number, 10, 64)
		if err != nil || count < 1 || count > math.MaxInt64/int64(known.size) {
			break
		}
		return unit.Bytes(count) * known.size, nil
	}
	return 0, errors.Errorf("found %q, allowed is a whole number of B, KiB, MiB or GiB of at least 1", text)
}
