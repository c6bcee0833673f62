package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/unit"
)

// Guards against a limit that is taken for none, or for another one, since its number is odd.
func TestParseRequestLimit(t *testing.T) {
	for text, want := range map[string]RequestLimit{
		"":                              {},
		"  ":                            {},
		"2.1":                           {Statement: LimitNamed, Rate: 2.1},
		" 12 ":                          {Statement: LimitNamed, Rate: 12},
		"0":                             {Statement: LimitNamed},
		"1e-3":                          {Statement: LimitNamed, Rate: unit.Rate(0.001)},
		"1e300":                         {},
		"1e999":                         {},
		"Inf":                           {},
		"-1":                            {Statement: LimitUnreadable},
		"-Inf":                          {Statement: LimitUnreadable},
		"NaN":                           {Statement: LimitUnreadable},
		"many":                          {Statement: LimitUnreadable},
		"2,1":                           {Statement: LimitUnreadable},
		"3 a 1s":                        {Statement: LimitUnreadable},
		"Thu, 03 Dec 2026 15:00:00 GMT": {Statement: LimitUnreadable},
	} {
		require.Equal(t, want, ParseRequestLimit(text), "%q", text)
	}
}
