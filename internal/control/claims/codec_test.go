package claims

import (
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawEntry(t *rapid.T) entry {
	e := entry{
		kind: rapid.SampledFrom([]entryKind{kindClaim, kindFinish, kindRelease}).Draw(t, "kind"),
		key: keyID{
			team: ident.TeamName(rapid.String().Draw(t, "team")),
			key:  ident.IdempotencyKey(rapid.StringN(1, 64, -1).Draw(t, "key")),
		},
		attempt: ident.AttemptID(rapid.OneOf(
			rapid.StringMatching(`att-[0-9a-fA-F]{0,34}`),
			rapid.StringN(1, 64, -1),
		).Draw(t, "attempt")),
		keepUntil: time.UnixMilli(rapid.Int64Range(0, 1<<42).Draw(t, "keep")).UTC(),
	}
	switch e.kind {
	case kindClaim:
		e.fingerprint = ident.Fingerprint(rapid.Uint64().Draw(t, "fingerprint"))
		e.host = ident.HostID(rapid.String().Draw(t, "host"))
		e.claimedAt = time.UnixMilli(rapid.Int64Range(0, 1<<42).Draw(t, "at")).UTC()
	case kindFinish:
		e.status = rapid.IntRange(0, 599).Draw(t, "status")
		e.contentType = rapid.String().Draw(t, "type")
		e.digest = rapid.Uint64().Draw(t, "digest")
		if e.bodyKept = rapid.Bool().Draw(t, "whole"); e.bodyKept {
			e.body = append([]byte(nil), rapid.SliceOf(rapid.Byte()).Draw(t, "body")...)
		}
	}
	return e
}

func TestPageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries")
		var raw []byte
		for i := range entries {
			raw = appendEntry(raw, &entries[i])
		}
		first, active := rapid.Uint64().Draw(t, "first"), rapid.Uint64().Draw(t, "active")
		p, err := decodePage(encodeHead(first, active, raw))
		require.NoError(t, err)
		require.Equal(t, first, p.firstSegment)
		require.Equal(t, active, p.activeSegment)
		require.Equal(t, raw, p.rawEntries)
		require.Len(t, p.entries, len(entries))
		for i := range entries {
			require.Equal(t, entries[i], p.entries[i])
		}
	})
}

// A truncated page or one with unknown fields must be an error. Decoded as a shorter
// page it would lack claims, and a request could run twice.
func TestTruncatedOrUnknownPageIsAnError(t *testing.T) {
	e := sampleClaim(1)
	value := encodeHead(0, 1, appendEntry(nil, &e))
	for n := 5; n < len(value); n++ {
		_, err := decodePage(value[:n])
		require.ErrorIs(t, err, errInvalidPage, n)
	}
	_, err := decodePage(appendUint(value, 9, 1))
	require.ErrorIs(t, err, errInvalidPage)
	rapid.Check(t, func(t *rapid.T) {
		_, _ = decodePage(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}
