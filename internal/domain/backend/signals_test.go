package backend

import (
	"testing"
	"time"

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

// Guards against a rest that is overlooked, or lasts for ever, since its value is odd.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 3, 15, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{
		"3":                             3 * time.Second,
		" 0.25 ":                        250 * time.Millisecond,
		"1e300":                         maxRest,
		"1e999":                         maxRest,
		"Inf":                           maxRest,
		"Thu, 03 Dec 2026 15:00:07 GMT": 7 * time.Second,
		"Thu, 03 Dec 2099 15:00:07 GMT": maxRest,
	} {
		require.Equal(t, now.Add(want), ParseRetryAfter(text, "", now), "%q", text)
	}
	for _, text := range []string{"", "0", "-3", "NaN", "-Inf", "soon", "Thu, 03 Dec 2026 14:59:00 GMT"} {
		require.Zero(t, ParseRetryAfter(text, "", now), "%q", text)
	}
	// The server's clock is an hour ahead of this host's.
	require.Equal(t, now.Add(7*time.Second), ParseRetryAfter("Thu, 03 Dec 2026 16:00:07 GMT", "Thu, 03 Dec 2026 16:00:00 GMT", now))
}
