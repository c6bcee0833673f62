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
		e.at = time.UnixMilli(rapid.Int64Range(0, 1<<42).Draw(t, "at")).UTC()
	case kindFinish:
		e.status = rapid.IntRange(0, 599).Draw(t, "status")
		e.contentType = rapid.String().Draw(t, "type")
		e.digest = rapid.Uint64().Draw(t, "digest")
		if e.whole = rapid.Bool().Draw(t, "whole"); e.whole {
			e.body = append([]byte(nil), rapid.SliceOf(rapid.Byte()).Draw(t, "body")...)
		}
	}
	return e
}

func TestPageComesBackAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries")
		var raw []byte
		for i := range entries {
			raw = appendEntry(raw, &entries[i])
		}
		first, active := rapid.Uint64().Draw(t, "first"), rapid.Uint64().Draw(t, "active")
		p, err := decodePage(encodeHead(first, active, raw))
		require.NoError(t, err)
		require.Equal(t, first, p.first)
		require.Equal(t, active, p.active)
		require.Equal(t, raw, p.raw)
		require.Len(t, p.entries, len(entries))
		for i := range entries {
			require.Equal(t, entries[i], p.entries[i])
		}
	})
}

// A page that is cut or of a newer format must be an error. Read as a shorter
// page, it would forget claims and let a dispatch go out twice.
func TestCutOrForeignPageIsAnError(t *testing.T) {
	e := sampleClaim(1)
	value := encodeHead(0, 1, appendEntry(nil, &e))
	for n := 5; n < len(value); n++ {
		_, err := decodePage(value[:n])
		require.ErrorIs(t, err, errPage, n)
	}
	_, err := decodePage(appendUint(value, 9, 1))
	require.ErrorIs(t, err, errPage)
	rapid.Check(t, func(t *rapid.T) {
		_, _ = decodePage(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}
