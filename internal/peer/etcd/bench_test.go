package etcd_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/etcd"
	standin "cicadaloom/internal/standin/etcd"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// BenchmarkSwap measures consecutive swaps of one key over loopback, without quotas, by
// the size of the value.
func BenchmarkSwap(b *testing.B) {
	for _, size := range []unit.Bytes{unit.Kibibyte, 64 * unit.Kibibyte, 900 * unit.Kibibyte} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkSwap(b, size) })
	}
}

func benchmarkSwap(b *testing.B, size unit.Bytes) {
	server := standin.New(standin.Options{
		WritesPerSecond: unreachedQuota,
	})
	address, err := server.Start("127.0.0.1:0")
	require.NoError(b, err)
	defer server.Stop()
	client, err := etcd.Dial(address.String())
	require.NoError(b, err)
	defer client.Close()
	value := strings.Repeat("x", int(size))
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	var current store.Entry
	b.ResetTimer()
	for b.Loop() {
		startedAt := time.Now()
		result, err := client.Swap(b.Context(), putOver("page", value, current))
		require.NoError(b, err)
		require.True(b, result.Swapped)
		require.NoError(b, latencies.RecordValue(int64(time.Since(startedAt))))
		current.Revision = result.Revision
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/float64(time.Microsecond), "p50-µs")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/float64(time.Microsecond), "p99-µs")
}
