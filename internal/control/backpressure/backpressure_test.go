package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time {
	return start.Add(after)
}

func named(rate unit.Rate) backend.Signals {
	return backend.Signals{
		RequestLimit: backend.RequestLimit{
			Statement: backend.LimitNamed,
			Rate:      rate,
		},
	}
}

// Guards against a limit that ends since an answer from before it arrives late.
func TestLimitEndsOnlyByAnswerToLaterRequest(t *testing.T) {
	var table Table
	server := table.Server("i-1", "1")
	require.True(t, server.Record(at(0), at(time.Second), named(2)).LimitNamed)
	require.False(t, server.Record(at(0), at(2*time.Second), named(2)).LimitNamed)

	require.False(t, server.Record(at(1500*time.Millisecond), at(3*time.Second), backend.Signals{}).LimitEnded)
	require.True(t, server.State().HasLimit)

	unreadable := backend.Signals{
		RequestLimit: backend.RequestLimit{
			Statement: backend.LimitUnreadable,
		},
	}
	require.Zero(t, server.Record(at(4*time.Second), at(5*time.Second), unreadable))
	require.Equal(t, unit.Rate(2), server.State().Limit)

	require.True(t, server.Record(at(4*time.Second), at(5*time.Second), backend.Signals{}).LimitEnded)
	require.False(t, server.State().HasLimit)
}

// Guards against a server that is forgotten when it leaves the list of servers for a moment.
func TestServerIsRememberedByIncarnation(t *testing.T) {
	var table Table
	table.Server("i-1", "1").Record(at(0), at(time.Second), named(2))
	isListed := true
	sweep := func(after time.Duration) {
		table.Sweep(at(after), func(ident.ServerName, ident.Incarnation) bool { return isListed })
	}
	sweep(3 * time.Hour)
	require.True(t, table.Server("i-1", "1").State().HasLimit)
	require.False(t, table.Server("i-1", "2").State().HasLimit)
	require.False(t, table.Server("i-2", "1").State().HasLimit)

	isListed = false
	sweep(4 * time.Hour)
	sweep(4*time.Hour + retention)
	require.True(t, table.Server("i-1", "1").State().HasLimit)
	isListed = true
	sweep(5*time.Hour + time.Minute)
	isListed = false
	sweep(6 * time.Hour)
	require.True(t, table.Server("i-1", "1").State().HasLimit)
	sweep(8 * time.Hour)
	require.False(t, table.Server("i-1", "1").State().HasLimit)
}

// Guards against a server that is forgotten when its incarnation becomes known.
func TestServerKeepsStateFromBeforeItsFirstReport(t *testing.T) {
	var table Table
	table.Server("i-1", "").Record(at(0), at(time.Second), named(2))
	require.True(t, table.Server("i-1", "1").State().HasLimit)
	require.False(t, table.Server("i-1", "2").State().HasLimit)
}

func TestNilServerAcceptsAll(t *testing.T) {
	var server *Server
	require.Zero(t, *server.State())
}
