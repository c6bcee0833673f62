package standin

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/unit"
)

// units has the longer suffixes first, since all end in B.
var units = []struct {
	suffix string
	size   unit.Bytes
}{
	{suffix: "KiB", size: unit.Kibibyte},
	{suffix: "MiB", size: unit.Mebibyte},
	{suffix: "GiB", size: unit.Gibibyte},
	{suffix: "B", size: unit.Byte},
}

func parseAmount(text string) (unit.Bytes, error) {
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
