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

// moveToOtherRegion registers an engine in another region.
func (f *fleet) moveToOtherRegion(name ident.ServerName, address string) {
	require.NoError(f.t, hostlist.Register(context.Background(), f.platform.HostListAddress, backend.Server{
		Name:       name,
		Kind:       backend.KindEngine,
		State:      backend.StateLive,
		Address:    address,
		DataCentre: "lannion-a",
		Region:     "armor",
	}))
}

// newTwoRegionFleet returns a fleet with one host, an engine in its region and
// one in another, both with the models.
func newTwoRegionFleet(t *testing.T, budget unit.Bytes, near engine.Options) *fleet {
	f := newFleet(t, 0, 0)
	_, err := f.platform.AddEngine("gpu-0", near)
	require.NoError(t, err)
	far, err := f.platform.AddEngine("gpu-far", engine.Options{})
	require.NoError(t, err)
	f.moveToOtherRegion("gpu-far", far)
	f.linkBudget = budget
	f.addHost("entry-0")
	f.putDocument("testdata/kerlouan.json", 2)
	require.Eventually(t, func() bool {
		target, _ := f.hosts[0].control.Table().Target("briefing")
		return len(target.Replicas) == 2 && target.HasOtherRegionReplicas()
	}, waitTimeout, pollInterval)
	return f
}

// chatStatusOfSize sends one chat with a prompt of the given size in bytes, and
// returns the HTTP status and headers.
func (f *fleet) chatStatusOfSize(size int) (int, http.Header) {
	body := `{"model":"briefing","max_tokens":2,"messages":[{"role":"user","content":"` + strings.Repeat("x", size) + `"}]}`
	answer, err := f.sendChat(context.Background(), 0, body)
	require.NoError(f.t, err)
	answer.Body.Close()
	return answer.StatusCode, answer.Header
}

// linkBacklog is how much traffic, as the time that it takes, the link may be behind by when a
// request starts to cross it.
const linkBacklog = time.Second

// Requests must not cross the link while this region has capacity: traffic on
// the link costs money and answers over it take 60 ms longer. They cross if
// this region has no replica left, until the budget is used up, and are then
// refused with a retry delay.
func TestLinkIsUsedOnlyWhenNeededAndWithinBudget(t *testing.T) {
	f := newTwoRegionFleet(t, 100*unit.Kibibyte, engine.Options{})
	far := f.platform.Engines["gpu-far"]
	for range 20 {
		status, _ := f.chatStatusOfSize(10)
		require.Equal(t, http.StatusOK, status)
	}
	require.Empty(t, far.Stats().Runs)

	f.platform.Engines["gpu-0"].Leave()
	require.Eventually(t, func() bool {
		target, _ := f.hosts[0].control.Table().Target("briefing")
		return len(target.Replicas) == 1
	}, waitTimeout, pollInterval)
	status, _ := f.chatStatusOfSize(10)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, far.Stats().Runs, 1)

	const requests = 20
	sent := 0
	begin := time.Now()
	for range requests {
		status, header := f.chatStatusOfSize(90 << 10)
		if status == http.StatusOK {
			sent++
			continue
		}
		require.Equal(t, http.StatusTooManyRequests, status)
		wait, err := strconv.Atoi(header.Get("Retry-After"))
		require.NoError(t, err)
		require.Positive(t, wait)
	}
	allowed := 1 + int((time.Since(begin)+linkBacklog).Seconds()*100/90)
	require.LessOrEqual(t, sent, allowed, "90 KiB each of 100 KiB a second")
	require.Positive(t, sent)
	require.Less(t, sent, requests, "some are refused")
	require.Len(t, far.Stats().Runs, 1+sent)
}

// A zero budget keeps every request in its region, even if no replica is left
// there.
func TestZeroLinkBudgetKeepsRequestsInRegion(t *testing.T) {
	f := newTwoRegionFleet(t, 0, engine.Options{})
	f.platform.Engines["gpu-0"].Leave()
	require.Eventually(t, func() bool {
		status, _ := f.chatStatusOfSize(10)
		return status == http.StatusServiceUnavailable
	}, waitTimeout, pollInterval)
	require.Empty(t, f.platform.Engines["gpu-far"].Stats().Runs)
}

// Requests must not be refused as too late while the other region and the link
// are idle: those that this region can't answer within the promised time cross
// the link.
func TestBusyRegionUsesOtherRegion(t *testing.T) {
	f := newTwoRegionFleet(t, unit.Mebibyte, engine.Options{
		Slots:          1,
		FirstTokenTime: time.Second,
	})
	var statuses [16]int
	var wait sync.WaitGroup
	for i := range statuses {
		wait.Go(func() { statuses[i], _ = f.chatStatusOfSize(i) })
	}
	wait.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}
	near, far := f.platform.Engines["gpu-0"].Stats(), f.platform.Engines["gpu-far"].Stats()
	require.NotEmpty(t, near.Runs)
	require.Greater(t, len(far.Runs), len(near.Runs))
}
