package routetable

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

func newTable() *Table {
	return New(&route.Configuration{
		Routes: []route.Route{
			{
				Name:   "all",
				Host:   "boats.example",
				Prefix: "/",
			},
			{
				Name:   "dispatch",
				Host:   "boats.example",
				Prefix: "/dispatch/",
			},
			{
				Name:   "north",
				Host:   "Boats.Example",
				Prefix: "/dispatch/north/",
			},
			{
				Name:   "notes",
				Host:   "notes.example",
				Prefix: "/notes/",
			},
		},
	})
}

func TestFindPicksLongestPrefixOfHost(t *testing.T) {
	for _, c := range []struct {
		host string
		path string
		want string
	}{
		{"boats.example", "/dispatch/north/7", "north"},
		{"boats.example:8080", "/dispatch/7", "dispatch"},
		{"BOATS.example", "/dispatch", "all"},
		{"boats.example", "/dispatch/north", "dispatch"},
		{"notes.example", "/dispatch/7", ""},
		{"notes.example", "/notes/", "notes"},
		{"other.example", "/", ""},
	} {
		found := newTable().Find(c.host, c.path)
		if c.want == "" {
			require.Nil(t, found, "%s%s", c.host, c.path)
			continue
		}
		require.NotNil(t, found, "%s%s", c.host, c.path)
		require.Equal(t, c.want, found.Name, "%s%s", c.host, c.path)
	}
}

func TestTargetsArePickedByWeight(t *testing.T) {
	split := &route.Route{
		Targets: []route.Target{
			{
				Service: "old",
				Weight:  90,
			},
			{
				Service: "new",
				Weight:  10,
			},
		},
	}
	counts := make(map[ident.ServiceName]int)
	for random := range uint64(1000) {
		counts[PickService(split, random)]++
	}
	require.Equal(t, 900, counts["old"])
	require.Equal(t, 100, counts["new"])
	require.Equal(t, ident.ServiceName(""), PickService(&route.Route{}, 3))
}
