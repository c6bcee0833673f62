package balance

import (
	"fmt"
	"testing"

	"cicadaloom/internal/domain/ident"
)

// BenchmarkTake measures one choice among the engines of a large service.
func BenchmarkTake(b *testing.B) {
	servers := make([]ServerInfo, 0, 64)
	for i := range 64 {
		servers = append(servers, engine(ident.ServerName(fmt.Sprint("e", i)), "n1", "north"))
	}
	pool := newPool(servers...)
	b.ReportAllocs()
	for i := range b.N {
		ticket, verdict := pool.Take(start, newCriteria(uint64(i)))
		if verdict != Found {
			b.Fatal("no server was found")
		}
		ticket.Done(start, Left)
	}
}
