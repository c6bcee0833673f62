package capacity

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sampleDuration is how long a running fleet is observed for one row.
const sampleDuration = 10 * time.Second

// TestMeasureControl prints what a host spends on control in an idle fleet. The CPU
// time of the process includes that of the stand-ins.
func TestMeasureControl(t *testing.T) {
	skipUnlessMeasuring(t)
	const models = 35
	table := "\n| hosts | engines | models | peers B/s | servers B/s | list B/s | control busy % | process % a host | heap MB | key-value calls/s a host |\n|--|--|--|--|--|--|--|--|--|--|\n"
	for _, size := range [][2]int{{1, 12}, {2, 12}, {4, 12}, {7, 12}, {7, 70}, {7, 80}} {
		hosts, engines := size[0], size[1]
		f := newFleet(t, hosts, engines, nil)
		revision := f.putDocument(models, 0, 0)
		f.waitForMetric("cicadaloom_documents_revision", float64(revision))
		f.waitForMetric("cicadaloom_live_hosts", float64(hosts))
		f.waitForPlacement()
		f.requestFromEveryHost()
		table += f.measureRow(engines, models)
		f.stop()
		f.hosts = nil
	}
	t.Log(table)
}

// requestFromEveryHost sends each host a chat request until it answers 200: it then
// knows the backend servers and routes to them.
func (f *fleet) requestFromEveryHost() {
	for _, running := range f.hosts {
		require.Eventually(f.t, func() bool {
			body := strings.NewReader(`{"model": "briefing-0003", "max_tokens": 2, "messages": [{"role": "user", "content": "hello"}]}`)
			response, err := http.Post("http://"+running.CallersAddress+"/v1/chat/completions", "application/json", body)
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, waitTimeout, pollInterval)
	}
}

// waitForPlacement waits until the number of loaded models has not changed for 3 s.
func (f *fleet) waitForPlacement() {
	countResidents := func() int {
		sum := 0
		for _, engine := range f.platform.Engines {
			report := engine.Report()
			sum += len(report.Residents)
		}
		return sum
	}
	last, since := countResidents(), time.Now()
	require.Eventually(f.t, func() bool {
		if now := countResidents(); now != last {
			last, since = now, time.Now()
		}
		return last > 0 && time.Since(since) > 3*time.Second
	}, waitTimeout, pollInterval)
}

// usage is what the fleet has used since its start: the sum of its hosts' metrics,
// the CPU time of the process, and the calls to the key-value service.
type usage struct {
	metrics map[string]float64
	cpuTime time.Duration
	calls   uint64
}

func (f *fleet) usage() usage {
	total := make(map[string]float64)
	for _, running := range f.hosts {
		for name, value := range f.metrics(running) {
			total[name] += value
		}
	}
	var used syscall.Rusage
	require.NoError(f.t, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return usage{
		metrics: total,
		cpuTime: time.Duration(used.Utime.Nano() + used.Stime.Nano()),
		calls:   f.platform.KeyValueServer.Stats().Calls(),
	}
}

// measureRow observes the fleet for sampleDuration and returns a row of the table.
func (f *fleet) measureRow(engines, models int) string {
	before := f.usage()
	start := time.Now()
	timer := time.NewTimer(sampleDuration)
	<-timer.C
	after := f.usage()
	seconds := time.Since(start).Seconds() * float64(len(f.hosts))
	rate := func(peer string) float64 {
		sum := 0.0
		for _, direction := range []string{"in", "out"} {
			name := fmt.Sprintf(`cicadaloom_control_bytes_total{direction=%q,peer=%q}`, direction, peer)
			sum += after.metrics[name] - before.metrics[name]
		}
		return sum / seconds
	}
	busy := after.metrics["cicadaloom_control_busy_seconds_total"] - before.metrics["cicadaloom_control_busy_seconds_total"]
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return fmt.Sprintf("| %d | %d | %d | %.0f | %.0f | %.0f | %.2f | %.2f | %.0f | %.2f |\n", len(f.hosts), engines, models,
		rate("hosts"), rate("servers"), rate("list"), 100*busy/seconds,
		100*(after.cpuTime-before.cpuTime).Seconds()/seconds, float64(memory.HeapInuse)/(1<<20),
		float64(after.calls-before.calls)/seconds)
}
