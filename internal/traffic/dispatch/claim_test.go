package dispatch

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/routing"
)

// fixedClaims gives every claim the same answer.
type fixedClaims struct {
	claims.Answer
}

func (a fixedClaims) Claim(context.Context, claims.Claim) claims.Answer { return a.Answer }
func (fixedClaims) Finish(claims.Finish)                                {}
func (fixedClaims) Release(claims.Release)                              {}

// If a claim's outcome is unknown, its write may have taken effect or not, so
// sending the request could run it twice. Only a granted claim allows sending,
// and only a key proven free may be reported as NotRun.
func TestOnlyGrantedClaimAllowsSending(t *testing.T) {
	for _, verdict := range []claims.Verdict{
		claims.Refused, claims.KeyReused, claims.ClaimedByOther, claims.Finished, claims.Unknown,
	} {
		h := requestHandler{
			Dispatcher: &Dispatcher{
				Claims: fixedClaims{
					Answer: claims.Answer{
						Verdict: verdict,
					},
				},
			},
			request: &Request{
				IdempotencyKey: "boat-1",
			},
			target: &routing.Target{},
		}
		stored, failure := h.claim(context.Background())
		require.Nil(t, stored)
		require.NotNil(t, failure, "verdict %v allowed sending", verdict)
		require.Equal(t, verdict == claims.KeyReused, failure.Outcome.IsNotRun(), "verdict %v", verdict)
	}
}
