package capacity

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/traffic/host"
)

// edits is how many edits one measurement makes, editEvery the time between two.
const (
	edits     = 60
	editEvery = 200 * time.Millisecond
)

// TestMeasureInForce prints how long an accepted edit takes to be in force on
// every host, and what it costs the key-value service.
func TestMeasureInForce(t *testing.T) {
	measured(t)
	const hosts = 7
	f := newFleet(t, hosts, 4, nil)
	revision := f.edit(8, 0, 0)
	f.everywhere("cicadaloom_documents_revision", float64(revision))
	f.everywhere("cicadaloom_live_hosts", hosts)
	f.settle()
	var took []time.Duration
	before, watching := f.platform.KeyValueServer.Stats(), time.Now()
	for i := range edits {
		revision = f.edit(8, i+1, revision)
		took = append(took, f.inForce(revision))
		timer := time.NewTimer(editEvery)
		<-timer.C
	}
	after := f.platform.KeyValueServer.Stats()
	slices.Sort(took)
	t.Logf("\n| hosts | edits | p50 | p99 | max | watches open | key-value calls a second and host | reads an edit | writes an edit |\n|--|--|--|--|--|--|--|--|--|\n| %d | %d | %s | %s | %s | %d | %.2f | %.1f | %.1f |",
		hosts, edits, took[edits/2].Round(time.Millisecond), took[edits*99/100].Round(time.Millisecond), took[edits-1].Round(time.Millisecond),
		after.WatchesOpen, float64(after.Calls()-before.Calls())/time.Since(watching).Seconds()/hosts,
		float64(after.Ranges+after.ReadTxns-before.Ranges-before.ReadTxns)/edits, float64(after.Txns-before.Txns)/edits)
}

// inForce gives the time until the last host serves a revision.
func (f *fleet) inForce(revision int64) time.Duration {
	start := time.Now()
	var group sync.WaitGroup
	for _, running := range f.hosts {
		group.Go(func() {
			for f.serves(running) < revision && time.Since(start) < patience {
				continue
			}
		})
	}
	group.Wait()
	took := time.Since(start)
	require.Less(f.t, took, patience)
	return took
}

func (f *fleet) serves(running *host.Host) int64 {
	request, err := http.NewRequest(http.MethodGet, "http://"+running.OperatorsAddress+"/admin/documents", http.NoBody)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+adminToken)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	var listed struct{ Revision int64 }
	if err := json.NewDecoder(answer.Body).Decode(&listed); err != nil {
		return 0
	}
	return listed.Revision
}
