// Package permits divides a backend server's request limit among all hosts: one host, the
// server's issuer, grants a permit for each request that any host sends there.
//
// An Issuer spaces the permits of a server in time. An ask says until when the request can
// wait; the answer is the instant at which it may be sent, or the next instant that is free if
// that is too late. So a request that can't be sent in time is refused without waiting, and the
// caller learns when to return. Statements about the limit travel with asks and answers, and
// the newest one counts: a host learns that a limit has changed or ended without an answer of its
// own.
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
//		// send at answer.SendAt
//	}
//
// # How much is issued
//
// The first host in rank issues the whole limit, the second backupShare of it. A host that has
// just become the first issues backupShare as well, for settleTime: the host before it may
// still issue. So the two together never issue more than 1+backupShare times the limit, as long
// as hosts that reach each other agree on the list of hosts within settleTime.
//
// Nothing here starts goroutines. An Issuer and a Choice are safe for concurrent use.
package permits

import (
	"time"

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
}

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
	// Limit and LimitAt are the newest statement that the issuer knows.
	Limit   backend.RequestLimit
	LimitAt time.Time
}
