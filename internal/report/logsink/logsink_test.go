package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

func TestLinesComeOutInOrder(t *testing.T) {
	var out bytes.Buffer
	sink := New(&out, &metrics.Counter{})
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := sink.Write([]byte(line))
		require.NoError(t, err)
	}
	require.NoError(t, sink.Close())
	require.Equal(t, "one\ntwo\nthree\n", out.String())
}

// Nobody reads the log any more. Requests must go on: lines that don't fit are
// dropped and counted, and memory stays bounded.
func TestAReaderThatStopsHoldsNobodyUp(t *testing.T) {
	reader, writer := io.Pipe()
	dropped := &metrics.Counter{}
	sink := New(writer, dropped)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3 * maxWaiting / len(line) {
		_, err := sink.Write(line)
		require.NoError(t, err)
	}
	require.Positive(t, dropped.Get())
	require.LessOrEqual(t, len(sink.waiting), maxWaiting)
	require.NoError(t, reader.Close())
	require.Error(t, sink.Close(), "the loss is said")
}
