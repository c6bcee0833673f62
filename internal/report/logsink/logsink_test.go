package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	sink := New(&out, &metrics.Counter{})
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := sink.Write([]byte(line))
		require.NoError(t, err)
	}
	require.NoError(t, sink.Close())
	require.Equal(t, "one\ntwo\nthree\n", out.String())
}

// The log reader has stopped reading. Write must not block: lines that don't fit are
// dropped and counted, and memory stays bounded.
func TestWriteNeverBlocksOnStalledReader(t *testing.T) {
	reader, writer := io.Pipe()
	dropped := &metrics.Counter{}
	sink := New(writer, dropped)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3 * maxBufferedBytes / len(line) {
		_, err := sink.Write(line)
		require.NoError(t, err)
	}
	require.Positive(t, dropped.Get())
	require.LessOrEqual(t, len(sink.buffer), maxBufferedBytes)
	require.NoError(t, reader.Close())
	require.Error(t, sink.Close(), "Close returns the write error")
}
