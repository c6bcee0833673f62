package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

// BenchmarkFindScheduler measures the choice of a scheduler, made for each prompt before it
// is sent, at 76 hosts.
func BenchmarkFindScheduler(b *testing.B) {
	var hosts []pacing.Host
	for i := range 76 {
		hosts = append(hosts, pacing.Host{
			Name:   ident.HostID("h" + strconv.Itoa(100+i)),
			Region: ident.Region("r" + strconv.Itoa(i%2)),
		})
	}
	var schedulers promptSchedulers
	schedulers.setHosts(hosts)
	now := time.Now()
	b.ReportAllocs()
	for range b.N {
		if _, found := schedulers.find(now, "m", "r1"); !found {
			b.Fatal("no scheduler")
		}
	}
}

// Guards against a host that is gone, whose entry stays for a while, and that delays a prompt of
// each host every second and a half.
func TestSilentSchedulerIsAskedLessAndLess(t *testing.T) {
	var schedulers promptSchedulers
	schedulers.setHosts([]pacing.Host{{
		Name:   "gone",
		Region: "north",
	}})
	now := time.Now()
	asked := 0
	for end := now.Add(hostLeaseDuration); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if scheduler, found := schedulers.find(now, "m", "north"); found {
			asked++
			schedulers.markUnavailable(now, scheduler.Name)
			schedulers.markUnavailable(now, scheduler.Name) // another prompt that asked it meanwhile
		}
	}
	require.LessOrEqual(t, asked, 5)
	schedulers.markAvailable("gone")
	schedulers.markUnavailable(now.Add(maxSchedulerBackoff), "gone")
	_, found := schedulers.find(now.Add(maxSchedulerBackoff+schedulerBackoff), "m", "north")
	require.True(t, found, "it begins anew once it has answered")
}
