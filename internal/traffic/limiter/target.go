package limiter

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

const (
	// patience is how long a request waits for a permit while other servers may answer.
	patience = 30 * time.Millisecond
	// permitTTL is how long after its instant a permit can be used: a host that was suspended
	// must not send all that has waited there at once.
	permitTTL = 250 * time.Millisecond
)

// Source grants permits. It may ask other hosts.
type Source interface {
	Permit(ctx context.Context, ask permits.Ask) permits.Answer
	// SettlePermit tells the issuer of a permit what came of it. It doesn't wait.
	SettlePermit(issuer pacing.Host, ask permits.Ask)
}

// Target is a server that a request is to be sent to.
type Target struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	Region      ident.Region
	Pressure    *backpressure.Server
}

// Permit is the right to send one request to a server at an instant. The zero value is that for
// a server that has no request limit and is not brittle.
type Permit struct {
	SendAt time.Time
	limit  unit.Rate
	// id and issuer are set if the permit is to be settled.
	id     permits.PermitID
	issuer pacing.Host
}

// Acquire gets the permit for a request, if the server has a limit or is brittle. The request can
// wait until an instant; if that has passed, it waits for a moment only. If there is no permit, the
// answer's SendAt is when the request may try again.
func (t *Target) Acquire(ctx context.Context, source Source, now, until time.Time) (Permit, permits.Answer) {
	state := t.Pressure.State()
	brittleness := t.Pressure.Brittleness(now)
	isBrittle := brittleness.MaxRefusals > 0
	if !state.HasLimit && !isBrittle {
		return Permit{}, permits.Answer{
			Outcome: permits.Granted,
		}
	}
	ask := t.newAsk(state.RequestLimit(), state.LimitNamedAt)
	ask.Brittleness = brittleness
	ask.NeedsSend = true
	ask.SendBy = now.Add(patience)
	if until.After(ask.SendBy) {
		ask.SendBy = until
	}
	if isBrittle {
		if !t.Pressure.BeginAsk() {
			return Permit{}, permits.Answer{
				SendAt: now.Add(patience),
			}
		}
		defer t.Pressure.EndAsk()
	}
	answer := source.Permit(ctx, ask)
	t.Pressure.LearnLimit(answer.Limit, answer.LimitAt)
	switch {
	case answer.Outcome == permits.Granted:
	case isBrittle && !state.HasLimit:
		t.Pressure.DelayPermit(now, answer.SendAt)
		return Permit{}, answer
	default:
		t.Pressure.SetPermitAt(answer.SendAt)
		return Permit{}, answer
	}
	return Permit{
		SendAt: answer.SendAt,
		limit:  t.Pressure.State().Limit,
		id:     answer.Permit,
		issuer: answer.Issuer,
	}, answer
}

// NotSent is the settlement of a permit whose request was not sent.
func NotSent() permits.Settlement {
	return permits.Settlement{}
}

// Answered is that of a request whose answer arrived now.
func Answered(now time.Time, wasRefused bool) permits.Settlement {
	return permits.Settlement{
		AnsweredAt:   now,
		MayBeRefused: wasRefused,
	}
}

// Unanswered is that of a request that was sent and will get no answer.
func Unanswered() permits.Settlement {
	return permits.Settlement{
		MayBeRefused: true,
	}
}

// Settle tells the issuer of a permit what came of its request.
func (t *Target) Settle(source Source, permit Permit, settled permits.Settlement) {
	if permit.id == 0 {
		return
	}
	if !settled.MayBeRefused {
		t.Pressure.FreePermit()
	}
	state := t.Pressure.State()
	ask := t.newAsk(state.RequestLimit(), state.LimitNamedAt)
	ask.Settled = settled
	ask.Settled.Permit = permit.id
	ask.Brittleness = t.Pressure.Brittleness(time.Now())
	source.SettlePermit(permit.issuer, ask)
}

// Allows reports whether a request whose time has come may be sent, by what the server's answers
// have said meanwhile. sendAt is when the request was to be sent.
func (t *Target) Allows(permit Permit, sendAt, now time.Time) bool {
	state := t.Pressure.State()
	switch {
	case state.IsLeaving || state.IsResting(now):
		return false
	case !permit.SendAt.IsZero():
		return now.Sub(sendAt) < permitTTL && (!state.HasLimit || state.Limit >= permit.limit)
	}
	return !state.HasLimit && t.Pressure.MaxRefusals(now) == 0
}

// Record records and logs the signals of the server's answer to a request sent at sentAt. The
// field names the request in the log.
func (t *Target) Record(log *zap.Logger, request zap.Field, sentAt, now time.Time, signals backend.Signals) backpressure.Change {
	change := t.Pressure.Record(sentAt, now, signals)
	if change == (backpressure.Change{}) {
		return change
	}
	log = log.With(zap.String("Server", string(t.Server)), zap.String("Incarnation", string(t.Incarnation)), request)
	if change.LimitNamed {
		log.Info("server names a request limit", zap.Float64("Limit", float64(signals.RequestLimit.Rate)))
	}
	if change.LimitEnded {
		log.Info("server names no request limit any more")
	}
	if change.BrittleBegan {
		log.Info("server is brittle", zap.Float64("MaxRefusals", float64(signals.MaxRefusals)))
	}
	if change.RestBegan {
		log.Info("server asks for rest", zap.Duration("For", signals.RestUntil.Sub(now)))
	}
	if change.LeavingBegan {
		log.Info("server says that it is leaving")
	}
	return change
}

// LimitEnded returns the message that the server has named no limit in its answer to a request
// sent at sentAt.
func (t *Target) LimitEnded(sentAt time.Time) permits.Ask {
	return t.newAsk(backend.RequestLimit{}, sentAt)
}

func (t *Target) newAsk(limit backend.RequestLimit, at time.Time) permits.Ask {
	return permits.Ask{
		Server:      t.Server,
		Incarnation: t.Incarnation,
		Region:      t.Region,
		Limit:       limit,
		LimitAt:     at,
	}
}
