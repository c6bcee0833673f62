// Package ident names the things that the system tells apart.
//
// Every id is a type of its own, so that the compiler refuses a model name
// where a backend server's name belongs. The zero value of each means "none".
//
// # Usage
//
//	server := ident.ServerName("brest-a-gpu-03")
//	request := ident.NewRequestID()
//
// Ids that are made here (requests, attempts, edits) carry 128 random bits and
// are unique over the fleet without coordination. All others come from
// settings, documents or the platform's host list and are compared as bytes.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// HostID names an entry host: one process of ours, from its settings.
type HostID string

// DataCentre names a data centre, from settings and the host list.
type DataCentre string

// Region names a region: data centres joined by fast links.
type Region string

// TeamName names a team, the owner of one document.
type TeamName string

// ModelName names a model as callers ask for it.
type ModelName string

// AdapterName names an adapter of a model as callers ask for it.
type AdapterName string

// Version names one version of a model's or adapter's weights.
type Version string

// ServiceName names a plain service as callers ask for it.
type ServiceName string

// ClassName names a class of callers in a team's document.
type ClassName string

// CallerName names a caller, as the caller says it in its request.
type CallerName string

// ServerName names a backend server, from the platform's host list.
type ServerName string

// Incarnation names one life of a backend server's process. It changes at each
// restart, so that an answer or report of an earlier life can be told apart.
type Incarnation string

// RequestID names one request of a caller over all its attempts.
type RequestID string

// AttemptID names one try of a request at one backend server.
type AttemptID string

// OrderID names one order to a model engine.
type OrderID string

// EditID names one edit of a document. It resolves a swap whose answer was lost.
type EditID string

// IdempotencyKey is what a caller sends to mark repeats of one request.
type IdempotencyKey string

// Fingerprint is a hash of a request's content. It finds a request again that
// its caller sends under a new id.
type Fingerprint uint64

// FleetID tells hosts of one key-value service from those of another; 0 while a host
// has not reached it yet.
type FleetID uint64

// Revision orders the states of the platform's key-value service. It only grows.
type Revision int64

// FencingNumber orders leaders. An engine that checks it refuses a smaller one.
type FencingNumber int64

// NewRequestID returns an id that no other request has.
func NewRequestID() RequestID {
	return RequestID(random("req-"))
}

// NewAttemptID returns an id that no other attempt has.
func NewAttemptID() AttemptID {
	return AttemptID(random("att-"))
}

// NewEditID returns an id that no other edit has.
func NewEditID() EditID {
	return EditID(random("edit-"))
}

// NewIncarnation returns an id that no other life of a server has.
func NewIncarnation() Incarnation {
	return Incarnation(random("inc-"))
}

func random(prefix string) string {
	var bits [16]byte
	// crypto/rand.Read never returns an error: it ends the program instead.
	_, _ = rand.Read(bits[:])
	return prefix + hex.EncodeToString(bits[:])
}
