package limiter

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// peers answers asks for the hosts that it has an answer of; the others are unreachable.
type peers struct {
	answers map[string]permits.Answer
	asked   []string
}

func (p *peers) Ask(_ context.Context, address string, _ permits.Ask) (permits.Answer, error) {
	p.asked = append(p.asked, address)
	answer, found := p.answers[address]
	if !found {
		return permits.Answer{}, errors.New("unreachable")
	}
	return answer, nil
}

// newLimiter returns the limiter of a host that issues no permits for the server i-1, and the
// addresses of the two that do.
func newLimiter(t *testing.T, p *peers, inTouch bool) (*Limiter, []string) {
	hosts := []pacing.Host{}
	for _, name := range []ident.HostID{"a", "b", "c", "d"} {
		hosts = append(hosts, pacing.Host{
			Name:    name,
			Address: string(name) + ":1",
			Region:  "north",
		})
	}
	issuers := pacing.PickHosts(hosts, "i-1", 2)
	for _, host := range hosts {
		if host.Name == issuers[0].Name || host.Name == issuers[1].Name {
			continue
		}
		l := New(Options{
			Own:       host.Name,
			Peers:     p,
			IsInTouch: func() bool { return inTouch },
			Log:       zap.NewNop(),
		})
		l.SetHosts(hosts)
		return l, []string{issuers[0].Address, issuers[1].Address}
	}
	t.Fatal("all hosts are issuers")
	return nil, nil
}

func newTarget(limit unit.Rate) (*Target, permits.Ask) {
	target := &Target{
		Server:      "i-1",
		Incarnation: "1",
		Region:      "north",
		Pressure:    (&backpressure.Table{}).Server("i-1", "1"),
	}
	signals := backend.Signals{
		RequestLimit: backend.RequestLimit{
			Statement: backend.LimitNamed,
			Rate:      limit,
		},
	}
	target.Record(zap.NewNop(), zap.Skip(), time.Now(), time.Now(), signals)
	ask := target.newAsk(signals.RequestLimit, time.Now())
	ask.NeedsSend = true
	ask.SendBy = time.Now().Add(time.Minute)
	return target, ask
}

// Guards against a limited server that gets nothing while one of its issuers is lost.
func TestSecondIssuerIsAskedWhenFirstIsLost(t *testing.T) {
	p := &peers{}
	l, issuers := newLimiter(t, p, true)
	p.answers = map[string]permits.Answer{
		issuers[1]: {Outcome: permits.Granted},
	}
	_, ask := newTarget(2)
	require.Equal(t, permits.Granted, l.Acquire(context.Background(), ask).Outcome)
	require.Equal(t, permits.Granted, l.Acquire(context.Background(), ask).Outcome)
	require.Equal(t, []string{issuers[0], issuers[1], issuers[1]}, p.asked, "the first is not asked again at once")
}

// Guards against hosts that send without a permit since nobody can issue one.
func TestNobodyDecidesMeansNoPermit(t *testing.T) {
	p := &peers{}
	l, issuers := newLimiter(t, p, true)
	_, ask := newTarget(2)
	lost := l.Acquire(context.Background(), ask)
	require.Equal(t, permits.Refused, lost.Outcome)
	require.WithinDuration(t, time.Now().Add(unreachedWait), lost.SendAt, 500*time.Millisecond)

	p = &peers{
		answers: map[string]permits.Answer{
			issuers[0]: {Outcome: permits.NotIssuer},
			issuers[1]: {Outcome: permits.NotIssuer},
		},
	}
	l, _ = newLimiter(t, p, true)
	require.Equal(t, permits.Refused, l.Acquire(context.Background(), ask).Outcome)
	require.Len(t, p.asked, 2)
}

// Guards against a host that issues the whole limit although it has lost touch with the hosts
// that may have replaced it.
func TestHostOutOfTouchIssuesPartOfLimit(t *testing.T) {
	for _, inTouch := range []bool{true, false} {
		l := New(Options{
			Own:       "a",
			Peers:     &peers{},
			IsInTouch: func() bool { return inTouch },
			Log:       zap.NewNop(),
		})
		l.choice.SetHosts(time.Now().Add(-time.Hour), []pacing.Host{{
			Name:   "a",
			Region: "north",
		}})
		_, ask := newTarget(1)
		first, second := l.Acquire(context.Background(), ask), l.Acquire(context.Background(), ask)
		require.Equal(t, permits.Granted, second.Outcome)
		interval := second.SendAt.Sub(first.SendAt)
		if inTouch {
			require.InDelta(t, 1, interval.Seconds(), 0.1)
		} else {
			require.InDelta(t, 4, interval.Seconds(), 0.1)
		}
	}
}

// Guards against a permit that is used long after its instant, or under a limit that has fallen.
func TestPermitHoldsForItsInstantAndLimit(t *testing.T) {
	target, _ := newTarget(2)
	now := time.Now()
	permit := Permit{
		SendAt: now,
		limit:  2,
	}
	require.True(t, target.Allows(permit, now, now))
	require.False(t, target.Allows(permit, now, now.Add(permitTTL)))
	require.False(t, target.Allows(Permit{}, now, now))

	target.Record(zap.NewNop(), zap.Skip(), now, now, backend.Signals{
		RequestLimit: backend.RequestLimit{
			Statement: backend.LimitNamed,
			Rate:      1,
		},
	})
	require.False(t, target.Allows(permit, now, now))
}
