package host

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/standin/engine"
	"cicadaloom/internal/standin/hostlist"
)

// move puts an engine into another region.
func (f *fleet) move(name ident.ServerName, address string) {
	require.NoError(f.t, hostlist.Register(context.Background(), f.platform.HostList, backend.Server{
		Name:       name,
		Kind:       backend.KindEngine,
		State:      backend.StateLive,
		Address:    address,
		DataCentre: "lannion-a",
		Region:     "armor",
	}))
}

// twoRegions has a near engine and a far one, both with the models, and one host.
func twoRegions(t *testing.T, budget unit.Bytes, near engine.Options) *fleet {
	f := newFleet(t, 0, 0)
	_, err := f.platform.AddEngine("gpu-0", near)
	require.NoError(t, err)
	far, err := f.platform.AddEngine("gpu-far", engine.Options{})
	require.NoError(t, err)
	f.move("gpu-far", far)
	f.linkBudget = budget
	f.addHost("entry-0")
	f.put("testdata/kerlouan.json", 2)
	require.Eventually(t, func() bool {
		target, _ := f.hosts[0].control.Table().Target("briefing")
		return len(target.Replicas) == 2 && target.HasFar()
	}, waitMost, waitEvery)
	return f
}

// status asks once, with a prompt of so many bytes, and gives the HTTP status.
func (f *fleet) status(size int) (int, http.Header) {
	body := `{"model":"briefing","max_tokens":2,"messages":[{"role":"user","content":"` + strings.Repeat("x", size) + `"}]}`
	answer, err := f.chat(context.Background(), 0, body)
	require.NoError(f.t, err)
	answer.Body.Close()
	return answer.StatusCode, answer.Header
}

// The bill for the link grows, and answers take 60 ms longer, though this region
// has room: requests cross for no need. They cross when this region has nobody
// left, until the budget is used, and are then refused with the time to come back.
func TestLinkIsUsedInNeedAndWithinItsBudget(t *testing.T) {
	f := twoRegions(t, 100*unit.Kibibyte, engine.Options{})
	far := f.platform.Engines["gpu-far"]
	for range 20 {
		status, _ := f.status(10)
		require.Equal(t, http.StatusOK, status)
	}
	require.Empty(t, far.Stats().Runs)

	f.platform.Engines["gpu-0"].Leave()
	require.Eventually(t, func() bool {
		target, _ := f.hosts[0].control.Table().Target("briefing")
		return len(target.Replicas) == 1
	}, waitMost, waitEvery)
	status, _ := f.status(10)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, far.Stats().Runs, 1)

	crossed := 0
	for range 20 {
		status, header := f.status(90 << 10)
		if status == http.StatusOK {
			crossed++
			continue
		}
		require.Equal(t, http.StatusTooManyRequests, status)
		wait, err := strconv.Atoi(header.Get("Retry-After"))
		require.NoError(t, err)
		require.Positive(t, wait)
	}
	require.LessOrEqual(t, crossed, 5, "90 KiB each of 100 KiB a second")
	require.Positive(t, crossed)
	require.Len(t, far.Stats().Runs, 1+crossed)
}

// A budget of none keeps every request in its region, also in need.
func TestNoLinkBudgetKeepsRequestsInTheirRegion(t *testing.T) {
	f := twoRegions(t, 0, engine.Options{})
	f.platform.Engines["gpu-0"].Leave()
	require.Eventually(t, func() bool {
		status, _ := f.status(10)
		return status == http.StatusServiceUnavailable
	}, waitMost, waitEvery)
	require.Empty(t, f.platform.Engines["gpu-far"].Stats().Runs)
}

// Requests are refused as too late though the other region stands idle and the
// link too: what this region can't answer within its promised time crosses.
func TestBusyRegionUsesTheOther(t *testing.T) {
	f := twoRegions(t, unit.Mebibyte, engine.Options{
		Slots:      1,
		FirstToken: time.Second,
	})
	var statuses [16]int
	var wait sync.WaitGroup
	for i := range statuses {
		wait.Go(func() { statuses[i], _ = f.status(i) })
	}
	wait.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}
	near, far := f.platform.Engines["gpu-0"].Stats(), f.platform.Engines["gpu-far"].Stats()
	require.NotEmpty(t, near.Runs)
	require.Greater(t, len(far.Runs), len(near.Runs))
}
