// Package permitpeer has the call by which an entry host asks another one for a permit to send
// a request to a backend server (package control/permits). It translates between Go types and
// the wire form, proto/permits/permits.proto. On the wire instants are durations from the
// message on: the clocks of hosts differ.
//
// Register adds the service to a host's gRPC server; Client asks over a pool of connections.
// Both are safe for concurrent use.
//
// # Usage
//
//	permitpeer.Register(registrar, handler)
//	...
//	client := permitpeer.Client{
//		Pool: &pool,
//	}
//	answer, err := client.Ask(ctx, "10.0.0.4:8144", ask)
package permitpeer

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/wire/permitspb"
)

// Handler answers the asks of peers. It must be safe for many goroutines.
type Handler interface {
	IssuePermit(ask permits.Ask) permits.Answer
}

// Register adds the service to a gRPC server.
func Register(registrar grpc.ServiceRegistrar, handler Handler) {
	permitspb.RegisterPermitsServer(registrar, &service{
		handler: handler,
	})
}

type service struct {
	permitspb.UnimplementedPermitsServer
	handler Handler
}

func (s *service) Issue(_ context.Context, wire *permitspb.PermitAsk) (*permitspb.PermitAnswer, error) {
	answer := s.handler.IssuePermit(decodeAsk(wire, time.Now()))
	return encodeAnswer(&answer, time.Now()), nil
}

// Client asks peers for permits.
type Client struct {
	Pool *grpcpeer.Pool
}

// Ask asks the host at an address for a permit.
func (c Client) Ask(ctx context.Context, address string, ask permits.Ask) (permits.Answer, error) {
	connection, err := c.Pool.Connection(address)
	if err != nil {
		return permits.Answer{}, err
	}
	wire, err := permitspb.NewPermitsClient(connection).Issue(ctx, encodeAsk(&ask, time.Now()))
	if err != nil {
		return permits.Answer{}, errors.Wrapf(err, "ask %s for a permit", address)
	}
	return decodeAnswer(wire, time.Now()), nil
}

func encodeAsk(ask *permits.Ask, now time.Time) *permitspb.PermitAsk {
	return &permitspb.PermitAsk{
		Server:      string(ask.Server),
		Incarnation: string(ask.Incarnation),
		Region:      string(ask.Region),
		Limit:       encodeLimit(ask.Limit, ask.LimitAt, now),
		NeedsSend:   ask.NeedsSend,
		SendWithin:  int64(ask.SendBy.Sub(now)),
		MaxRefusals: float64(ask.Brittleness.MaxRefusals),
		BrittleAge:  ageOf(ask.Brittleness.StatedAt, now),
		RoundTrip:   int64(ask.RoundTrip),

		Settled:      uint64(ask.Settled.Permit),
		AnsweredAge:  ageOf(ask.Settled.AnsweredAt, now),
		MayBeRefused: ask.Settled.MayBeRefused,
	}
}

func decodeAsk(wire *permitspb.PermitAsk, now time.Time) permits.Ask {
	limit, at := decodeLimit(wire.GetLimit(), now)
	return permits.Ask{
		Server:      ident.ServerName(wire.GetServer()),
		Incarnation: ident.Incarnation(wire.GetIncarnation()),
		Region:      ident.Region(wire.GetRegion()),
		Limit:       limit,
		LimitAt:     at,
		NeedsSend:   wire.GetNeedsSend(),
		SendBy:      now.Add(time.Duration(wire.GetSendWithin())),
		Brittleness: decodeBrittleness(wire, now),
		RoundTrip:   decodeRoundTrip(wire.GetRoundTrip()),
		Settled: permits.Settlement{
			Permit:       permits.PermitID(wire.GetSettled()),
			AnsweredAt:   instantOf(wire.GetAnsweredAge(), now),
			MayBeRefused: wire.GetMayBeRefused(),
		},
	}
}

func encodeAnswer(answer *permits.Answer, now time.Time) *permitspb.PermitAnswer {
	return &permitspb.PermitAnswer{
		Outcome: wireOutcomes[answer.Outcome],
		Wait:    int64(answer.SendAt.Sub(now)),
		Limit:   encodeLimit(answer.Limit, answer.LimitAt, now),
		Permit:  uint64(answer.Permit),
	}
}

func decodeAnswer(wire *permitspb.PermitAnswer, now time.Time) permits.Answer {
	limit, at := decodeLimit(wire.GetLimit(), now)
	answer := permits.Answer{
		Outcome: permits.NotIssuer,
		SendAt:  now.Add(time.Duration(wire.GetWait())),
		Limit:   limit,
		LimitAt: at,
		Permit:  permits.PermitID(wire.GetPermit()),
	}
	for outcome, name := range wireOutcomes {
		if name == wire.GetOutcome() {
			answer.Outcome = outcome
		}
	}
	return answer
}

var wireOutcomes = map[permits.Outcome]permitspb.PermitAnswer_Outcome{
	permits.Refused:   permitspb.PermitAnswer_REFUSED,
	permits.Granted:   permitspb.PermitAnswer_GRANTED,
	permits.NotIssuer: permitspb.PermitAnswer_NOT_ISSUER,
}

func encodeLimit(limit backend.RequestLimit, at, now time.Time) *permitspb.Limit {
	if at.IsZero() {
		return nil
	}
	return &permitspb.Limit{
		Named: limit.Statement == backend.LimitNamed,
		Rate:  float64(limit.Rate),
		Age:   int64(now.Sub(at)),
	}
}

// ageOf returns how long ago an instant was, in nanoseconds, 0 for the zero instant.
func ageOf(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(int64(now.Sub(at)), 1)
}

// instantOf returns the instant whose age ageOf returned.
func instantOf(age int64, now time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age))
}

// decodeBrittleness returns an empty statement where a peer sends a rate that isn't one.
func decodeBrittleness(wire *permitspb.PermitAsk, now time.Time) backend.Brittleness {
	rate, at := wire.GetMaxRefusals(), instantOf(wire.GetBrittleAge(), now)
	if !(rate >= 0) || math.IsInf(rate, 1) || rate == 0 && at.IsZero() {
		return backend.Brittleness{}
	}
	if at.IsZero() {
		at = now
	}
	return backend.Brittleness{
		MaxRefusals: unit.Rate(rate),
		StatedAt:    at,
	}
}

// unknownRoundTrip is that of a host that does not say: between any two regions.
const unknownRoundTrip = 250 * time.Millisecond

func decodeRoundTrip(nanos int64) time.Duration {
	if nanos <= 0 {
		return unknownRoundTrip
	}
	return time.Duration(nanos)
}

// decodeLimit returns an unreadable statement, which says nothing, where a peer sends a rate
// that isn't one.
func decodeLimit(wire *permitspb.Limit, now time.Time) (backend.RequestLimit, time.Time) {
	if wire == nil {
		return backend.RequestLimit{}, time.Time{}
	}
	at := now.Add(-time.Duration(max(wire.GetAge(), 0)))
	rate := wire.GetRate()
	switch {
	case !wire.GetNamed():
		return backend.RequestLimit{}, at
	case !(rate >= 0):
		return backend.RequestLimit{
			Statement: backend.LimitUnreadable,
		}, at
	}
	return backend.RequestLimit{
		Statement: backend.LimitNamed,
		Rate:      unit.Rate(rate),
	}, at
}
