// Package limiter does what sending to a backend server takes beside the send: it gets the
// permit if the server names a request limit or is brittle, checks at the moment of sending what
// the server's answers have said, records what the next answer says, and settles the permit. It
// also issues the permits that this host's peers ask for.
//
// The decisions are those of packages control/permits and control/backpressure; a Limiter
// connects them with the peers. The package starts no goroutines. A Limiter is safe for
// concurrent use.
//
// # Usage
//
//	limits := limiter.New(limiter.Options{
//		Own:       "front-brest-a-1",
//		Peers:     peers,
//		IsInTouch: isInTouch,
//		Log:       log,
//	})
//	limits.SetHosts(hosts)
//	permit, answer := target.Acquire(ctx, source, now, until)
//	if answer.Outcome == permits.Granted {
//		// wait until permit.SendAt
//	}
//	if target.Allows(permit, permit.SendAt, now) {
//		// send, and record the answer: target.Record
//	}
//	target.Settle(source, permit, limiter.Answered(now, wasRefused))
package limiter

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

const (
	// askTimeout is how long an issuer may take to answer: a round trip between regions, and
	// what a busy host adds.
	askTimeout = 250 * time.Millisecond
	// unreachedWait is when a request may be sent again to a server whose issuers don't
	// answer: one of them may be back, or another one chosen.
	unreachedWait = time.Second
)

// Peers asks other hosts for permits.
type Peers interface {
	Ask(ctx context.Context, address string, ask permits.Ask) (permits.Answer, error)
}

// Options configures a Limiter. All fields must be set.
type Options struct {
	Own   ident.HostID
	Peers Peers
	// IsInTouch reports whether this host's list of hosts is recent. A host that has lost
	// touch may have been replaced as an issuer without knowing.
	IsInTouch func() bool
	Log       *zap.Logger
}

// Limiter gets and issues permits.
type Limiter struct {
	options Options
	choice  *permits.Choice
	issuer  permits.Issuer
	// alone issues this host's permits for brittle servers while no issuer answers.
	alone permits.Issuer
	// roundTrips are how long the last asks to issuers took.
	roundTrips roundTrips
}

// New returns a Limiter that knows no hosts yet.
func New(options Options) *Limiter {
	return &Limiter{
		options: options,
		choice:  permits.NewChoice(options.Own),
	}
}

// SetHosts replaces the known hosts, this one included, sorted by name.
func (l *Limiter) SetHosts(hosts []pacing.Host) {
	l.choice.SetHosts(time.Now(), hosts)
}

// Acquire asks the server's issuers, one after the other, until one decides.
func (l *Limiter) Acquire(ctx context.Context, ask permits.Ask) permits.Answer {
	for _, issuer := range l.choice.Issuers(time.Now(), ask.Server, ask.Region) {
		answer, err := l.ask(ctx, issuer, ask)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			l.choice.Fail(time.Now(), issuer.Name)
			l.options.Log.Info("issuer of permits does not answer", zap.String("Issuer", string(issuer.Name)),
				zap.String("Server", string(ask.Server)), zap.Error(err))
			continue
		}
		if answer.Outcome != permits.NotIssuer {
			answer.Issuer = issuer
			return answer
		}
	}
	if ask.Brittleness.MaxRefusals > 0 && ask.Limit.Statement != backend.LimitNamed {
		return l.issueAlone(ask)
	}
	return refuseUnreached()
}

// refuseUnreached is the answer where no issuer answers and the host must not send without one.
func refuseUnreached() permits.Answer {
	return permits.Answer{
		Outcome: permits.Refused,
		SendAt:  time.Now().Add(unreachedWait),
	}
}

// issueAlone issues a permit for a brittle server if it is this host's turn. Servers with a request
// limit have no turns: a server that names one is in need.
func (l *Limiter) issueAlone(ask permits.Ask) permits.Answer {
	rank := l.choice.AloneRank()
	if rank.Hosts == 0 {
		return refuseUnreached()
	}
	ask.RoundTrip = askTimeout
	return l.alone.Issue(time.Now(), rank, ask)
}

// Settle tells the issuer of a permit what came of it. If the message is lost, the permit counts
// for a moment longer than it has to.
func (l *Limiter) Settle(ctx context.Context, issuer pacing.Host, ask permits.Ask) {
	if issuer.Name == "" {
		l.issueAlone(ask)
		return
	}
	if _, err := l.ask(ctx, issuer, ask); err != nil {
		l.options.Log.Debug("permit not settled", zap.String("Issuer", string(issuer.Name)), zap.String("Server", string(ask.Server)), zap.Error(err))
	}
}

func (l *Limiter) ask(ctx context.Context, issuer pacing.Host, ask permits.Ask) (permits.Answer, error) {
	if issuer.Name == l.options.Own {
		return l.IssuePermit(ask), nil
	}
	ask.RoundTrip = l.roundTrips.of(issuer.Region)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	askedAt := time.Now()
	answer, err := l.options.Peers.Ask(ctx, issuer.Address, ask)
	if err == nil {
		l.roundTrips.record(issuer.Region, time.Since(askedAt))
	}
	return answer, err
}

// IssuePermit implements permitpeer.Handler.
func (l *Limiter) IssuePermit(ask permits.Ask) permits.Answer {
	now := time.Now()
	if !l.options.IsInTouch() {
		l.choice.LoseTouch(now)
	}
	return l.issuer.Issue(now, l.choice.OwnRank(ask.Server, ask.Region), ask)
}
