package holdings

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newInventory(server int, running int, models ...ident.ModelName) loading.Inventory {
	h := loading.Inventory{
		Server:      ident.ServerName("e" + strconv.Itoa(server)),
		Incarnation: "1",
		Running:     running,
	}
	for _, name := range models {
		h.Weights = append(h.Weights, request.Weights{
			Model: name,
		})
	}
	return h
}

// replace makes a table know just some inventories, as a planner that has no others.
func replace(t *Table, now time.Time, fencingNumber ident.FencingNumber, inventories []loading.Inventory) {
	var removed []ident.ServerName
	for name := range t.engines {
		if !slices.ContainsFunc(inventories, func(i loading.Inventory) bool { return i.Server == name }) {
			removed = append(removed, name)
		}
	}
	t.Record(now, fencingNumber, inventories, removed)
}

// The leader's knowledge reaches a host through two watchers, each behind the leader by a
// different time, and the leader changes. What the host knows of an engine never goes back:
// otherwise it would send requests for a model to an engine that has just unloaded it. Once
// both watchers are up to date, so is the host.
func TestRelayedUpdatesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		fencingNumber := ident.FencingNumber(1)
		inventories := make(map[int]loading.Inventory)
		var leader, host Table
		var watchers [2]Table
		report := func() {
			var all []loading.Inventory
			for _, inventory := range inventories {
				all = append(all, inventory)
			}
			replace(&leader, now, fencingNumber, all)
		}
		relay := func(from, to *Table) {
			update := from.Since(to.Cursor())
			to.Apply(now, &update)
		}
		last := make(map[ident.ServerName]Engine)
		lastFencingNumber := ident.FencingNumber(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			server := rapid.IntRange(0, 3).Draw(t, "server")
			watcher := &watchers[rapid.IntRange(0, 1).Draw(t, "other")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				model := ident.ModelName("m" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "model")))
				inventories[server] = newInventory(server, rapid.IntRange(0, 9).Draw(t, "running"), model)
				report()
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
					fencingNumber++
					leader = Table{}
					report()
				}
			case 3, 4:
				relay(&leader, watcher)
			case 5:
				relay(watcher, &host)
				for name, e := range host.engines {
					if before, known := last[name]; known && host.cursor.FencingNumber == lastFencingNumber {
						require.GreaterOrEqual(t, e.InventoryChange, before.InventoryChange)
						require.GreaterOrEqual(t, e.LoadChange, before.LoadChange)
					}
				}
				clear(last)
				lastFencingNumber = host.cursor.FencingNumber
				for name, e := range host.engines {
					last[name] = e.Engine
				}
			}
		}
		report()
		relay(&leader, &watchers[0])
		relay(&watchers[0], &host)
		for _, inventory := range inventories {
			known, found := host.Get(inventory.Server)
			require.True(t, found)
			require.Equal(t, inventory, known)
		}
		require.Equal(t, now, host.reportedAt)
		require.True(t, host.IsFresh(now.Add(MaxAge)))
		require.False(t, host.IsFresh(now.Add(MaxAge+1)))
	})
}

// The state of 240 engines is sent to 300 hosts several times a second. An update has changes
// only, and for most engines only the load.
func TestSinceReturnsOnlyChanges(t *testing.T) {
	var table Table
	inventories := []loading.Inventory{newInventory(0, 1, "m"), newInventory(1, 2, "m", "n"), newInventory(2, 0)}
	replace(&table, start, 7, inventories)
	known := table.Cursor()
	require.Len(t, table.Since(Cursor{}).Engines, 3)
	replace(&table, start, 7, inventories)
	require.Empty(t, table.Since(known).Engines)
	inventories[1].Running = 3
	inventories[1].Weights[0], inventories[1].Weights[1] = inventories[1].Weights[1], inventories[1].Weights[0]
	replace(&table, start, 7, inventories)
	update := table.Since(known)
	require.Len(t, update.Engines, 1)
	require.True(t, update.Engines[0].LoadOnly)
	require.Empty(t, update.Engines[0].Weights)
	replace(&table, start.Add(1), 7, inventories[:2])
	replace(&table, start.Add(2), 7, inventories)
	update = table.Since(known)
	require.Len(t, update.Engines, 2, "the update has everything of an engine that comes back")
}

// An earlier leader's update arrives after a later leader's. It must not change anything.
func TestUpdateOfEarlierLeaderIsIgnored(t *testing.T) {
	var early, late, host Table
	replace(&early, start, 3, []loading.Inventory{newInventory(0, 1, "m")})
	replace(&late, start, 4, []loading.Inventory{newInventory(0, 1, "n")})
	update := late.Since(Cursor{})
	host.Apply(start, &update)
	update = early.Since(host.Cursor())
	require.Empty(t, host.Apply(start, &update))
	known, _ := host.Get("e0")
	require.Equal(t, ident.ModelName("n"), known.Weights[0].Model)
}

// Engines that no longer exist are dropped, but not at once: the leader's report may arrive
// before their entry.
func TestForgetDropsMissingEngines(t *testing.T) {
	var table Table
	replace(&table, start, 1, []loading.Inventory{newInventory(0, 0), newInventory(1, 0)})
	exists := func(name ident.ServerName) bool { return name == "e1" }
	table.Forget(start.Add(missingRetention), exists)
	require.Len(t, table.engines, 2)
	table.Forget(start.Add(missingRetention+1), exists)
	require.Len(t, table.engines, 1)
}

// Guards against updates that cost as much as the fleet has engines, and against a log that grows
// with each change.
func TestUpdateCostDoesNotGrowWithFleet(t *testing.T) {
	measure := func(n int) float64 {
		var table Table
		for i := range n {
			table.Record(start, 1, []loading.Inventory{newInventory(i, 0, "m")}, nil)
		}
		changed := []loading.Inventory{newInventory(1, 0, "m")}
		for i := range 5 * n {
			changed[0].Running = i
			table.Record(start, 1, changed, nil)
			require.LessOrEqual(t, len(table.log), (1+maxStaleChanges)*n)
		}
		return testing.AllocsPerRun(20, func() {
			known := table.Cursor()
			changed[0].Running++
			table.Record(start, 1, changed, nil)
			require.Len(t, table.Since(known).Engines, 1)
			require.Len(t, table.log.since(known.LastChange), 1)
		})
	}
	require.InDelta(t, measure(1000), measure(2000), 1)
}
