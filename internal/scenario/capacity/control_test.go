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

// sampleFor is how long a running fleet is watched for one row.
const sampleFor = 10 * time.Second

// TestMeasureControl prints what a host spends on control in a fleet at rest.
// The processor time of the process has the stand-ins' part in it.
func TestMeasureControl(t *testing.T) {
	measured(t)
	const models = 35
	table := "\n| hosts | engines | models | peers B/s | servers B/s | list B/s | control busy % | process % a host | heap MB | key-value calls/s a host |\n|--|--|--|--|--|--|--|--|--|--|\n"
	for _, size := range [][2]int{{1, 12}, {2, 12}, {4, 12}, {7, 12}, {7, 70}, {7, 80}} {
		hosts, engines := size[0], size[1]
		f := newFleet(t, hosts, engines, nil)
		revision := f.edit(models, 0, 0)
		f.everywhere("cicadaloom_documents_revision", float64(revision))
		f.everywhere("cicadaloom_live_hosts", float64(hosts))
		f.settle()
		f.askEverywhere()
		table += f.row(engines, models)
		f.stop()
		f.hosts = nil
	}
	t.Log(table)
}

// askEverywhere has every host answer a caller, from what it knows of servers.
func (f *fleet) askEverywhere() {
	for _, running := range f.hosts {
		require.Eventually(f.t, func() bool {
			body := strings.NewReader(`{"model": "briefing-0003", "max_tokens": 2, "messages": [{"role": "user", "content": "hello"}]}`)
			answer, err := http.Post("http://"+running.CallersAddress+"/v1/chat/completions", "application/json", body)
			if err != nil {
				return false
			}
			defer answer.Body.Close()
			return answer.StatusCode == http.StatusOK
		}, patience, lookEvery)
	}
}

// settle waits until the placement has nothing more to do.
func (f *fleet) settle() {
	ready := func() int {
		sum := 0
		for _, engine := range f.platform.Engines {
			report := engine.Report()
			sum += len(report.Residents)
		}
		return sum
	}
	last, since := ready(), time.Now()
	require.Eventually(f.t, func() bool {
		if now := ready(); now != last {
			last, since = now, time.Now()
		}
		return last > 0 && time.Since(since) > 3*time.Second
	}, patience, lookEvery)
}

type usage struct {
	metrics map[string]float64
	process time.Duration
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
		process: time.Duration(used.Utime.Nano() + used.Stime.Nano()),
		calls:   f.platform.KeyValueServer.Stats().Calls(),
	}
}

func (f *fleet) row(engines, models int) string {
	before := f.usage()
	start := time.Now()
	timer := time.NewTimer(sampleFor)
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
		100*(after.process-before.process).Seconds()/seconds, float64(memory.HeapInuse)/(1<<20),
		float64(after.calls-before.calls)/seconds)
}
