package gateway

import (
	"strconv"
	"testing"
	"time"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

// BenchmarkPacerOf measures what each prompt asks before it is sent, at 76 hosts.
func BenchmarkPacerOf(b *testing.B) {
	var hosts []pacing.Host
	for i := range 76 {
		hosts = append(hosts, pacing.Host{
			Name:   ident.HostID("h" + strconv.Itoa(100+i)),
			Region: ident.Region("r" + strconv.Itoa(i%2)),
		})
	}
	var p pacers
	p.set(hosts)
	now := time.Now()
	b.ReportAllocs()
	for range b.N {
		if _, answers := p.of(now, "m", "r1"); !answers {
			b.Fatal("no pacer")
		}
	}
}
