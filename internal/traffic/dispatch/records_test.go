package dispatch

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/decisions"
)

func aboutOne() *About {
	return &About{
		Request: "req-1",
		Attempt: "att-1",
		Team:    "kerlouan",
		Class:   "Crew",
		Target:  "briefing",
	}
}

// Whoever greps a request's id finds every line about it, and the attempt.
func TestLinesNameTheRequest(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	records := Records{
		Log:       zap.New(core),
		Decisions: decisions.NewLog("entry-1"),
	}
	failure := Untouched(CodeTooBusy, "too late", time.Time{})
	records.Failed(time.Now(), aboutOne(), failure)
	records.answered(aboutOne(), burn.InTime, time.Second)
	records.cancelled(aboutOne(), failure)
	require.Equal(t, 3, lines.Len())
	for _, line := range lines.All() {
		require.Equal(t, "req-1", line.ContextMap()["RequestID"])
		require.Equal(t, "att-1", line.ContextMap()["AttemptID"])
	}
	found := records.Decisions.Find(decisions.Query{
		ID:   "req-1",
		Team: "kerlouan",
	})
	require.Len(t, found, 1, "only the failure is a decision")
	require.Equal(t, "NotRun", found[0].Run)
}

// What keeping a failure costs its request, with the log at Warn, and what an
// answered request pays.
func BenchmarkRecords(b *testing.B) {
	records := Records{
		Log:       zap.NewNop(),
		Decisions: decisions.NewLog("entry-1"),
	}
	about := aboutOne()
	failure := Untouched(CodeTooBusy, "too late", time.Time{})
	now := time.Now()
	b.Run("Failed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			records.Failed(now, about, failure)
		}
	})
	b.Run("FailedAndLogged", func(b *testing.B) {
		sink, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
		require.NoError(b, err)
		defer func() { _ = sink.Close() }()
		logged := records
		logged.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), sink, zap.InfoLevel))
		b.ReportAllocs()
		for b.Loop() {
			logged.Failed(now, about, failure)
		}
	})
	b.Run("Answered", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			records.answered(about, burn.InTime, time.Second)
		}
	})
}
