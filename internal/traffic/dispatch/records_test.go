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

func testRequestInfo() *RequestInfo {
	return &RequestInfo{
		Request: "req-1",
		Attempt: "att-1",
		Team:    "kerlouan",
		Class:   "Crew",
		Target:  "briefing",
	}
}

// Every log line about a request contains its request ID and attempt ID, so
// that a search for the ID finds all of them.
func TestLogLinesNameRequestAndAttempt(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	records := Records{
		Log:       zap.New(core),
		Decisions: decisions.NewLog("entry-1"),
	}
	failure := NewNotSentFailure(CodeTooBusy, "too late", time.Time{})
	records.RecordFailure(time.Now(), testRequestInfo(), failure)
	records.recordAnswered(testRequestInfo(), burn.InTime, time.Second)
	records.recordCancelled(testRequestInfo(), failure)
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

// BenchmarkRecords measures the cost of recording a failure with the log level
// at Warn and at Info, and of recording an answered request.
func BenchmarkRecords(b *testing.B) {
	records := Records{
		Log:       zap.NewNop(),
		Decisions: decisions.NewLog("entry-1"),
	}
	about := testRequestInfo()
	failure := NewNotSentFailure(CodeTooBusy, "too late", time.Time{})
	now := time.Now()
	b.Run("Failed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			records.RecordFailure(now, about, failure)
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
			logged.RecordFailure(now, about, failure)
		}
	})
	b.Run("Answered", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			records.recordAnswered(about, burn.InTime, time.Second)
		}
	})
}
