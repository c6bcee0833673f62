package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Writing to a slow caller takes longer than an engine may send nothing. The
// attempt must not be ended for that, and after the write the watchdog must be
// active again.
func TestSlowCallerDoesNotTriggerWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := requestHandler{
			mayRepeat: true,
		}
		ctx, dog := h.startWatchdog(context.Background(), time.Second)
		defer dog.stop()
		dog.pause()
		time.Sleep(time.Hour) // simulated time
		synctest.Wait()
		require.NoError(t, ctx.Err())
		dog.reset(time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, dog.hasStalled())
	})
}
