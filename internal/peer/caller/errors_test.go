package caller

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/traffic/dispatch"
)

// Guards against a host without processor time that tells refused clients to come back at once:
// the time to come back at has passed when the refusal is written.
func TestRefusalThatIsWrittenLateNamesAWait(t *testing.T) {
	decidedAt := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		writtenAt       time.Time
		seconds, millis string
	}{
		{
			writtenAt: decidedAt,
			seconds:   "2",
			millis:    "1500",
		},
		{
			writtenAt: decidedAt.Add(1490 * time.Millisecond),
			seconds:   "1",
			millis:    "10",
		},
		{
			writtenAt: decidedAt.Add(1500 * time.Millisecond),
			seconds:   "1",
			millis:    "1000",
		},
		{
			writtenAt: decidedAt.Add(9 * time.Second),
			seconds:   "1",
			millis:    "1000",
		},
	} {
		server := Server{
			Now: func() time.Time { return test.writtenAt },
		}
		recorder := httptest.NewRecorder()
		require.NoError(t, server.refuse(recorder, dispatch.CodeTooBusy, "the link is full", decidedAt.Add(1500*time.Millisecond)))
		require.Equal(t, test.seconds, recorder.Header().Get(headerRetryAfter), test.writtenAt)
		require.Equal(t, test.millis, recorder.Header().Get(headerRetryMillis), test.writtenAt)
		require.Empty(t, recorder.Header().Get(headerShouldRetry))
	}
}
