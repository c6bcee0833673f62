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
// has room. Its issuer has a slot for each refusal. A permit occupies a slot until the host reports that
// the server has accepted the request, or for refusalWindow after the server has refused it. So there
// are no more refusals in any second than slots, whatever the number of hosts, and the number of slots in
// use converges to the server's capacity.
//
// A Choice picks the issuer by rendezvous hashing over the hosts of the server's region, so
// that hosts that know the same hosts agree without a message. If the first host in rank does
// not answer, the second issues a part of the limit. A host that can reach neither sends nothing
// to the server.
//
// # Usage
//
//	var issuer permits.Issuer
//	choice := permits.NewChoice("front-brest-a-1")
//	choice.SetHosts(now, hosts)
//	answer := issuer.Issue(now, choice.OwnRank(ask.Server, ask.Region), permits.Ask{
//		Server:    "i-7f3a91c2",
//		Region:    "finistere",
//		Limit:     limit,
//		LimitAt:   namedAt,
//		NeedsSend: true,
//		SendBy:    now.Add(time.Second),
//	})
//	if answer.Outcome == permits.Granted {
//		// send at answer.SendAt; if the server is brittle, say what came of answer.Permit
//	}
//
// # How much is issued
//
// The first host in rank issues the whole limit, the second backupShare of it. A host that has
// just become the first issues backupShare as well, for settleTime: the host before it may
// still issue. So the two together never issue more than 1+backupShare times the limit, as long
// as hosts that reach each other agree on the list of hosts within settleTime.
//
// The slots of a brittle server are divided, not exceeded: the second host in rank has backupShare
// of them, one at least, and the first the others.
//
// Nothing here starts goroutines. An Issuer and a Choice are safe for concurrent use.
package permits

import (
	"time"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
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
	// MaxRefusals is how many refusals a second the server bears, 0 if it is not brittle.
	MaxRefusals unit.Rate
	// Settled is an earlier permit, and WasRefused whether the server has turned its request away;
	// 0 for none.
	Settled    PermitID
	WasRefused bool
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
