package dispatch

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/routing"
)

// oneAnswer gives every claim the same answer.
type oneAnswer struct {
	claims.Answer
}

func (a oneAnswer) Claim(context.Context, claims.Claim) claims.Answer { return a.Answer }
func (oneAnswer) Finish(claims.Finish)                                {}
func (oneAnswer) Release(claims.Release)                              {}

// A claim's outcome could not be learnt in time: its write may have taken
// effect or not. To send all the same could run the request twice. Only a grant
// lets a request go, and only a key proven free lets the host say NotRun.
func TestOnlyAGrantLetsARequestGo(t *testing.T) {
	for _, verdict := range []claims.Verdict{
		claims.Refused, claims.KeyReused, claims.ClaimedByOther, claims.Finished, claims.Unknown,
	} {
		j := journey{
			Dispatcher: &Dispatcher{
				Claims: oneAnswer{
					Answer: claims.Answer{
						Verdict: verdict,
					},
				},
			},
			request: &Request{
				Key: "boat-1",
			},
			target: &routing.Target{},
		}
		stored, failure := j.claim(context.Background())
		require.Nil(t, stored)
		require.NotNil(t, failure, "verdict %v let the request go", verdict)
		require.Equal(t, verdict == claims.KeyReused, failure.Outcome.IsNotRun(), "verdict %v", verdict)
	}
}
