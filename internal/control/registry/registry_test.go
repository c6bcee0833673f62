package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newRegistration(name ident.ServerName, incarnation ident.Incarnation, leaving bool) backend.Registration {
	r := backend.Registration{
		Server: backend.Server{
			Name: name,
		},
		Report: backend.Report{
			Incarnation: incarnation,
			Leaving:     leaving,
		},
	}
	return r
}

func serverNames(table *Table, now time.Time) []ident.ServerName {
	var found []ident.ServerName
	for _, r := range table.Servers(now) {
		found = append(found, r.Server.Name)
	}
	return found
}

// The service is unavailable, and leases expire meanwhile. After its return, the entries of
// servers that are alive are missing for a second or two. Requests must still reach these
// servers; a server whose entry isn't back by then is gone.
func TestEntryMissingAfterOutageMayReturn(t *testing.T) {
	var table Table
	table.Put(start, newRegistration("a", "1", false))
	table.Put(start, newRegistration("b", "1", false))
	table.RecordFailure(start.Add(time.Second))
	serviceBack := start.Add(5 * time.Second)
	table.RecordFailure(serviceBack)
	table.Remove(serviceBack.Add(100*time.Millisecond), "a")
	table.Remove(serviceBack.Add(100*time.Millisecond), "b")
	require.Equal(t, []ident.ServerName{"a", "b"}, serverNames(&table, serviceBack.Add(time.Second)))
	table.Put(serviceBack.Add(1500*time.Millisecond), newRegistration("a", "1", false))
	require.Equal(t, []ident.ServerName{"a"}, serverNames(&table, serviceBack.Add(3*time.Second)))
}

// While the service works, a missing entry means that its server has left without notice.
func TestMissingEntryWithoutOutageIsDropped(t *testing.T) {
	var table Table
	table.Put(start, newRegistration("a", "1", false))
	table.Remove(start.Add(time.Second), "a")
	require.Empty(t, serverNames(&table, start.Add(time.Second)))
}

// A server has announced that it leaves. An earlier entry that arrives late, or is written
// again after an outage, must not bring it back. Another incarnation may come.
func TestLeavingIncarnationNeverReturns(t *testing.T) {
	var table Table
	table.Put(start, newRegistration("a", "1", true))
	table.Put(start.Add(time.Second), newRegistration("a", "1", false))
	require.True(t, table.Servers(start.Add(time.Second))[0].Report.Leaving)
	table.RecordFailure(start.Add(time.Second))
	table.Remove(start.Add(2*time.Second), "a")
	require.Empty(t, serverNames(&table, start.Add(2*time.Second)), "one that leaves is not waited for")
	table.Put(start.Add(3*time.Second), newRegistration("a", "1", false))
	require.True(t, table.Servers(start.Add(3 * time.Second))[0].Report.Leaving)
	table.Put(start.Add(4*time.Second), newRegistration("a", "2", false))
	require.False(t, table.Servers(start.Add(4 * time.Second))[0].Report.Leaving)
}

// Guards against a reader of changes that misses a server whose entry came, changed, expired or
// went.
func TestChangesNameEachServerOnce(t *testing.T) {
	var table Table
	require.Empty(t, table.TakeChanges(start))
	table.Put(start, newRegistration("a", "1", false))
	table.Put(start, newRegistration("a", "2", false))
	table.Put(start, newRegistration("b", "1", false))
	require.ElementsMatch(t, []ident.ServerName{"a", "b"}, table.TakeChanges(start))
	require.Empty(t, table.TakeChanges(start))

	table.Remove(start.Add(time.Minute), "b")
	require.Equal(t, []ident.ServerName{"b"}, table.TakeChanges(start.Add(time.Minute)))

	table.RecordFailure(start.Add(2 * time.Minute))
	table.Remove(start.Add(2*time.Minute), "a")
	require.Empty(t, table.TakeChanges(start.Add(2*time.Minute)))
	require.Equal(t, []ident.ServerName{"a"}, table.TakeChanges(start.Add(2*time.Minute+returnTimeout)))
	require.Zero(t, table.Len())
}
