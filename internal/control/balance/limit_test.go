package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// loaded is an engine that reports so many requests of all hosts.
func loaded(running int) ServerInfo {
	info := engine("a", "n1", "north")
	info.Running = running
	return info
}

// take takes as many tickets as the limit allows, up to most.
func take(pool *Pool, most int) int {
	for n := range most {
		if _, verdict := pool.Take(start, newCriteria(uint64(n))); verdict != Found {
			return n
		}
	}
	return most
}

// Guards against a host to which most clients come and that may use no more of a server than an even
// share, while other hosts leave theirs.
func TestHostWithMostClientsUsesWhatOthersLeave(t *testing.T) {
	pool := newPool(loaded(0))
	pool.SetServerLimit(ServerLimit{
		Own:   3,
		Total: 20,
	})
	require.Equal(t, 20, take(pool, 100))
}

// Guards against a host that takes more than its share of a server that other hosts use, or of which
// it doesn't know that they don't.
func TestHostKeepsToItsShareOfUsedServer(t *testing.T) {
	limit := ServerLimit{
		Own:   3,
		Total: 20,
	}
	used := newPool(loaded(30))
	used.SetServerLimit(limit)
	require.Equal(t, 3, take(used, 100))

	partlyUsed := newPool(loaded(12))
	partlyUsed.SetServerLimit(limit)
	require.Equal(t, 8, take(partlyUsed, 100))

	unknown := newPool(engine("a", "n1", "north"))
	unknown.SetServerLimit(limit)
	require.Equal(t, 3, take(unknown, 100))
}
