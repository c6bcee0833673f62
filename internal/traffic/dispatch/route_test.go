package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
)

// busyPolicy has one replica, which is not idle, or none.
type busyPolicy struct {
	hasReplica bool
}

func (p busyPolicy) Choose(_ *routing.Target, request *routing.Request) (routing.Choice, error) {
	if p.hasReplica && !request.IdleOnly {
		return routing.Choice{}, nil
	}
	return routing.Choice{}, routing.ErrNoReplica
}

// Guards against a suspect that is told to come back for an idle server although there is no server
// at all.
func TestSuspectWithoutReplicaIsToldSo(t *testing.T) {
	for hasReplica, expected := range map[bool]Code{false: CodeNoReplica, true: CodeTooBusy} {
		h := requestHandler{
			Dispatcher: &Dispatcher{
				Policy: busyPolicy{
					hasReplica: hasReplica,
				},
			},
			target:  &routing.Target{},
			verdict: suspects.ServeAlone,
		}
		h.routing.IdleOnly = true
		require.Equal(t, expected, h.failNoReplica(time.Now()).Code)
		require.True(t, h.routing.IdleOnly)
	}
}
