// Package permits divides among all hosts what a backend server accepts: one host, the server's
// issuer, grants a permit for each request that any host sends there. That holds for servers that
// name a request limit, and for those that fall over if they turn away too many requests.
//
// An Issuer spaces the permits of a server in time. An ask says until when the request can
// wait; the answer is the instant at which it may be sent, or the next instant that is free if
// that is too late. So a request that can't be sent in time is refused without waiting, and the
// caller learns when to return. Statements about the limit travel with asks and answers, and
// the newest one counts: a host learns that a limit has changed or ended without an answer of its
// own.
//
// A brittle server bears a number of refusals a second, but accepts any number of requests while it
// has room. Its issuer has as many permits as refusals that it may cause. A permit is free again once
// the server has accepted its request, and refusalWindow after the server has refused it. A server
// refuses a request as soon as it arrives. So an answer of the server, to any request, shows that it
// has accepted the requests that reached it before and whose refusals have not come back. A server
// that answers nothing may refuse all of them once it goes on, and their permits stay in use.
//
// A Choice picks the issuer by rendezvous hashing over the hosts of the server's region, so
// that hosts that know the same hosts agree without a message. If the first host in rank does
// not answer, the second issues a part of the limit. A host that can reach neither sends nothing
// to a server with a limit; to a brittle one it sends in its turn.
//
// # Usage
//
//	var issuer permits.Issuer
//	choice := permits.NewChoice("front-brest-a-1")
//	choice.SetHosts(now, hosts)
//	answer := issuer.Issue(now, choice.OwnRank("i-7f3a91c2", "finistere"), permits.Ask{
//		Server:    "i-7f3a91c2",
//		Region:    "finistere",
//		Limit:     limit,
//		LimitAt:   namedAt,
//		NeedsSend: true,
//		SendBy:    now.Add(time.Second),
//	})
//	if answer.Outcome == permits.Granted {
//		// send at answer.SendAt; if the server is brittle, settle answer.Permit with a later Ask
//	}
//
// # How much is issued
//
// The first host in rank issues the whole limit, the second backupShare of it. A host that has
// just become the first issues backupShare as well, for settleTime: the host before it may
// still issue. So the two together never issue more than 1+backupShare times the limit, as long
// as hosts that reach each other agree on the list of hosts within settleTime.
//
// The refusals of a brittle server are divided, not exceeded, among the first host in rank, the
// second, and all hosts that reach neither: see divide. Hosts may disagree about the list of hosts
// for settleTime. So a host issues nothing before it has been among the issuers for that long, and the
// first host's part once it has been the first for that long. Hosts without an issuer take turns by the
// clock, since they can't tell each other what they send.
//
// Nothing here starts goroutines. An Issuer and a Choice are safe for concurrent use.
package permits

import (
	"time"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// Ask is a host's request for a permit.
type Ask struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	// Region is the server's, from whose hosts the issuer is chosen.
	Region ident.Region
	// Limit is the newest statement about the server's limit that the host knows, LimitAt when
	// it was made.
	Limit   backend.RequestLimit
	LimitAt time.Time
	// NeedsSend is whether a permit is wanted; if not, the ask only passes the statement on.
	NeedsSend bool
	// SendBy is the latest instant at which the request can be sent.
	SendBy time.Time
	// Brittleness is the newest statement about the server's refusals that the host knows.
	Brittleness backend.Brittleness
	// RoundTrip is how long a message of the host to the server's region and back takes.
	RoundTrip time.Duration
	// Settled says what came of an earlier permit.
	Settled Settlement
}

// Settlement is what came of the request of a permit for a brittle server.
type Settlement struct {
	// Permit is the permit, 0 for none.
	Permit PermitID
	// AnsweredAt is when the server's answer arrived, zero if there was none.
	AnsweredAt time.Time
	// MayBeRefused is whether the answer is a refusal, or the request was sent and will get no answer.
	MayBeRefused bool
}

// PermitID identifies a permit for a brittle server to the issuer that granted it.
type PermitID uint64

// Outcome is the outcome of an ask.
type Outcome int

// The outcomes.
const (
	// Refused: no permit is free by SendBy.
	Refused Outcome = iota
	Granted
	// NotIssuer: the host that was asked is not among those that issue permits for the server.
	NotIssuer
)

// Answer is the answer to an Ask.
type Answer struct {
	Outcome Outcome
	// SendAt is when the request may be sent, or the next instant that is free.
	SendAt time.Time
	// Permit is to be settled once it is known whether a brittle server has taken the request; 0
	// for other servers. Issuer is the host that granted it, zero for the asking host itself where
	// no issuer answers.
	Permit PermitID
	Issuer pacing.Host
	// Limit and LimitAt are the newest statement that the issuer knows.
	Limit   backend.RequestLimit
	LimitAt time.Time
}
