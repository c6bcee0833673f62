package gateway

import (
	"strconv"
	"testing"
	"time"

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
