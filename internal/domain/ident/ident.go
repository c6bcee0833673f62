// Package ident has the types of all identifiers: of hosts, servers, models, requests
// and so on.
//
// Each is a type of its own, so that the compiler rejects a model name where a
// backend server's name belongs. The zero value of each means "none".
//
// # Usage
//
//	server := ident.ServerName("brest-a-gpu-03")
//	request := ident.NewRequestID()
//
// The ids that this package generates (requests, attempts, edits, incarnations) have
// 128 random bits and are unique over all hosts without coordination. All others come
// from settings, documents or the platform's host list and are compared as bytes.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// HostID names an entry host, from its settings.
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

// Build names the software that a backend server runs, not its weights. Parts of one
// stream fit together only if servers of the same build wrote them.
type Build string

// ServiceName names a plain service as callers ask for it.
type ServiceName string

// ClassName names a class of callers in a team's document.
type ClassName string

// AccountName names a client account, from the configuration.
type AccountName string

// CallerName names a caller, as stated in its request.
type CallerName string

// ServerName names a backend server, from the platform's host list.
type ServerName string

// Incarnation names one run of a backend server's process. It changes at each restart,
// so that answers and reports of an earlier run can be recognized.
type Incarnation string

// RequestID names one request of a caller over all its attempts.
type RequestID string

// AttemptID names one attempt of a request at one backend server.
type AttemptID string

// OrderID names one order to a model engine.
type OrderID string

// EditID names one edit of a document. By it a host finds out whether a swap whose
// answer was lost took effect.
type EditID string

// IdempotencyKey is sent by a caller to mark repeats of one request.
type IdempotencyKey string

// Fingerprint is a hash of a request's content. It identifies a request that its
// caller sends again under a new id.
type Fingerprint uint64

// FleetID is the cluster id of the key-value service that a host uses; 0 until the host
// has reached the service. Hosts with different ids belong to different fleets.
type FleetID uint64

// Revision is a revision of the platform's key-value service; it only increases.
type Revision int64

// FencingNumber increases with each leader. An engine that checks it refuses orders
// with a smaller number than the greatest it has seen.
type FencingNumber int64

// NewRequestID returns a new random id.
func NewRequestID() RequestID {
	return RequestID(newRandomID("req-"))
}

// NewAttemptID returns a new random id.
func NewAttemptID() AttemptID {
	return AttemptID(newRandomID("att-"))
}

// NewEditID returns a new random id.
func NewEditID() EditID {
	return EditID(newRandomID("edit-"))
}

// NewIncarnation returns a new random id.
func NewIncarnation() Incarnation {
	return Incarnation(newRandomID("inc-"))
}

func newRandomID(prefix string) string {
	var bits [16]byte
	// crypto/rand.Read never returns an error: it ends the program instead.
	_, _ = rand.Read(bits[:])
	return prefix + hex.EncodeToString(bits[:])
}
