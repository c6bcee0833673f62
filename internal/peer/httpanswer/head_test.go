package httpanswer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against fields that are found in a body, or missed because the head came in pieces.
func TestHeadEndsWithItsEmptyLine(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.0 200 OK\r\nA: b\r\nTE: x\r\n\r\nB: c\r\n\r\n",
		"HTTP/1.0 200 OK\nA: b\nTE: x\n\nB: c\n\n",
	} {
		for size := 1; size <= len(text); size++ {
			var head Head
			for rest := []byte(text); len(rest) > 0; {
				n := min(size, len(rest))
				head.Add(rest[:n])
				rest = rest[n:]
			}
			require.True(t, head.hasField("a"))
			require.True(t, head.hasField("te"))
			require.False(t, head.hasField("b"))
		}
	}
}

// Guards against copies of the heads of all answers.
func TestHeadOfNewVersionIsNotKept(t *testing.T) {
	var head Head
	for _, piece := range []string{"HTTP/", "1.1 200 OK\r\n", "TE: x\r\n"} {
		head.Add([]byte(piece))
	}
	require.Empty(t, head.text)
	require.False(t, head.hasField("te"))
}
