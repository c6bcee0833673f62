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

// editCount is the number of edits in one measurement, editInterval the pause after each.
const (
	editCount    = 60
	editInterval = 200 * time.Millisecond
)

// TestMeasureInForce prints how long an accepted edit takes to be in force on
// every host, and how many calls it costs the key-value service.
func TestMeasureInForce(t *testing.T) {
	skipUnlessMeasuring(t)
	const hosts = 7
	f := newFleet(t, hosts, 4, nil)
	revision := f.putDocument(8, 0, 0)
	f.waitForMetric("cicadaloom_documents_revision", float64(revision))
	f.waitForMetric("cicadaloom_live_hosts", hosts)
	f.waitForPlacement()
	var took []time.Duration
	before, watching := f.platform.KeyValueServer.Stats(), time.Now()
	for i := range editCount {
		revision = f.putDocument(8, i+1, revision)
		took = append(took, f.waitInForce(revision))
		timer := time.NewTimer(editInterval)
		<-timer.C
	}
	after := f.platform.KeyValueServer.Stats()
	slices.Sort(took)
	t.Logf("\n| hosts | edits | p50 | p99 | max | watches open | key-value calls a second and host | reads an edit | writes an edit |\n|--|--|--|--|--|--|--|--|--|\n| %d | %d | %s | %s | %s | %d | %.2f | %.1f | %.1f |",
		hosts, editCount, took[editCount/2].Round(time.Millisecond), took[editCount*99/100].Round(time.Millisecond), took[editCount-1].Round(time.Millisecond),
		after.WatchesOpen, float64(after.Calls()-before.Calls())/time.Since(watching).Seconds()/hosts,
		float64(after.Ranges+after.ReadTxns-before.Ranges-before.ReadTxns)/editCount, float64(after.Txns-before.Txns)/editCount)
}

// waitInForce returns the time until the last host serves a revision.
func (f *fleet) waitInForce(revision int64) time.Duration {
	start := time.Now()
	var group sync.WaitGroup
	for _, running := range f.hosts {
		group.Go(func() {
			for f.servedRevision(running) < revision && time.Since(start) < waitTimeout {
				continue
			}
		})
	}
	group.Wait()
	took := time.Since(start)
	require.Less(f.t, took, waitTimeout)
	return took
}

// servedRevision returns the revision of the documents that a host serves, 0 if it
// could not be read.
func (f *fleet) servedRevision(running *host.Host) int64 {
	request, err := http.NewRequest(http.MethodGet, "http://"+running.OperatorsAddress+"/admin/documents", http.NoBody)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+adminToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var listed struct{ Revision int64 }
	if err := json.NewDecoder(response.Body).Decode(&listed); err != nil {
		return 0
	}
	return listed.Revision
}
