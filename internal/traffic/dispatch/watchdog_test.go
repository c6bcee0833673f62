package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller reads slowly, so that writing to it takes longer than an engine may
// be silent. The engine is not the one that hangs: it must not be given up, and
// after the write it is watched again.
func TestSlowReaderIsNotItsEnginesSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := journey{
			mayRepeat: true,
		}
		watched, dog := j.watch(context.Background(), time.Second)
		defer dog.stop()
		dog.pause()
		time.Sleep(time.Hour) // the bubble's time
		synctest.Wait()
		require.NoError(t, watched.Err())
		dog.alive(time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, dog.stalled())
	})
}
