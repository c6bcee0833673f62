// Package demand says what callers ask for: which models, adapters and services,
// how often, in which classes, with messages of which lengths. From such a plan
// and a seed it makes the same requests with the same arrival instants each time.
//
// # Usage
//
//	plan, err := demand.Load("kerlouan.load.json")
//	arrivals := demand.New(plan, demand.Span{
//		Seed:  7,
//		Start: start,
//		End:   start.Add(30 * time.Second),
//	})
//	for request, more := arrivals.Next(); more; request, more = arrivals.Next() {
//		...
//	}
//
// # Arrivals
//
// Requests arrive by a Poisson process whose rate is RequestsPerSecond times
// the plan's Curve, as callers do who know nothing of each other. It is made by
// thinning (Lewis and Shedler, 1979): candidates come at the greatest rate and
// are kept with the chance rate/greatest.
//
// # Markers
//
// Each request's text begins with a marker that no other request has. An answer
// that echoes another request's marker is a neighbour's answer.
package demand

import (
	"time"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Plan is what callers ask for.
type Plan struct {
	Name string
	// RequestsPerSecond is the rate of all requests together, before Curve.
	RequestsPerSecond float64
	Curve             Curve
	// Timeout is how long a caller waits; a request's deadline follows from it.
	Timeout  time.Duration
	Models   []Model
	Services []Service
	Classes  []Class
	Lengths  []Length
	Prefixes Prefixes
}

// CurveKind names the way in which a rate changes.
type CurveKind string

// The kinds of curve.
const (
	// Constant is the same at all times.
	Constant CurveKind = "Constant"
	// Night swings between the whole rate and half of it within each Period.
	Night CurveKind = "Night"
	// Burst is Factor times as high from From on, for For.
	Burst CurveKind = "Burst"
)

// Curve is how a rate changes over time. From, For and Period are lengths of
// time of the plan, not of one load: Span.Start makes instants of them.
type Curve struct {
	Kind   CurveKind
	Period time.Duration
	From   time.Duration
	For    time.Duration
	Factor float64
	// Only, where set, names the one model or service whose rate changes.
	Only string
}

// Model is a model with its adapters, and how it is asked for.
type Model struct {
	Name   ident.ModelName
	Weight float64
	// Promise is the promised time that attainment is measured against.
	Promise  document.Promise
	Adapters []ident.AdapterName
	// AdapterPercent of the requests go to one of Adapters, StreamedPercent are
	// streamed.
	AdapterPercent  int
	StreamedPercent int
	Keys            Keys
}

// Service is a plain service, and how it is asked for.
type Service struct {
	Name    ident.ServiceName
	Weight  float64
	Method  string
	Path    string
	Promise document.Promise
	Keys    Keys
}

// Keys says which requests carry an Idempotency-Key, since they may not be
// repeated. TwicePercent of these are sent a second time at the same instant,
// as by a caller who presses the button twice.
type Keys struct {
	Percent      int
	TwicePercent int
}

// Class is a class of callers.
type Class struct {
	Name   ident.ClassName
	Weight float64
}

// Length is a length of messages and their answers.
type Length struct {
	Words  int
	Tokens int
	Weight float64
}

// Prefixes are beginnings that requests share: Percent of the chats begin with
// one of Count texts of Words words.
type Prefixes struct {
	Count   int
	Words   int
	Percent int
}

// Request is one request at its arrival.
type Request struct {
	ID       ident.RequestID
	At       time.Time
	Deadline time.Time
	Class    ident.ClassName
	// Key is empty where the request may be repeated.
	Key ident.IdempotencyKey
	// Name is the model, adapter or service asked for.
	Name string
	// Marker is how Message begins; no other request has it, but for the second
	// sending of the same.
	Marker  string
	Message string
	Promise document.Promise
	// Service is set for a plain service, Chat for a model or adapter.
	Service *Call
	Chat    *Chat
	// Dice are random bits of this request, for whoever spreads requests.
	Dice uint64
}

// Call is what a request to a plain service has of its own.
type Call struct {
	Method string
	Path   string
}

// Chat is what a request to a model has of its own.
type Chat struct {
	// Prefix is the shared beginning, empty for none.
	Prefix string
	Tokens int
	Stream bool
}
