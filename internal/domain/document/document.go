// Package document has a team's document: the models, adapters, versions and plain
// services that the team offers, the order of its caller classes, the requests that
// must not be repeated, and the promised latencies.
//
// A document is plain data, independent of its JSON form: package
// internal/config/teamdoc reads, checks and writes it. An accepted document is
// immutable and shared between goroutines.
//
// # Usage
//
//	model, found := doc.Model("briefing")
//	if found && !model.MayRepeat {
//		// the request needs a claim before it is sent
//	}
package document

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Document is what one team declares.
type Document struct {
	Team     ident.TeamName
	Models   []Model
	Services []Service
	// Classes are the caller classes, in order of priority.
	Classes []Class
	// DefaultClass is the class of callers that name none.
	DefaultClass ident.ClassName
}

// Model is a model that the team's callers must always be able to reach.
type Model struct {
	Name    ident.ModelName
	Version ident.Version
	// Memory is the memory that one replica uses on a backend server.
	Memory unit.Bytes
	// Replicas is the minimum of replicas; placement may add more, up to MaxReplicas.
	Replicas    int
	MaxReplicas int
	// MayRepeat is set if running a request twice does no harm.
	MayRepeat bool
	Promise   Promise
	Adapters  []Adapter
}

// Adapter is a small change to a model's weights. Callers request it by its own name,
// like a model.
type Adapter struct {
	Name    ident.AdapterName
	Version ident.Version
	Memory  unit.Bytes
}

// Service is a plain service: one that runs on backend servers without models.
type Service struct {
	Name ident.ServiceName
	// ForbidRepeat lists the HTTP methods whose requests must not be repeated.
	ForbidRepeat []string
	Promise      Promise
}

// Promise is the promised latency of a model or service.
type Promise struct {
	// FirstToken is the time to the first token, or to a service's complete response.
	FirstToken time.Duration
	// BetweenTokens is the time between two tokens; zero for services.
	BetweenTokens time.Duration
}

// GenerationTime returns the promised time from the first to the last token of an answer.
func (p Promise) GenerationTime(tokens unit.Tokens) time.Duration {
	return time.Duration(max(tokens-1, 0)) * p.BetweenTokens
}

// Class is a class of callers.
type Class struct {
	Name ident.ClassName
	// Share is the percentage of the team's capacity that the class keeps even when
	// classes of higher priority are busy.
	Share int
}

// Model finds a model by name.
func (d *Document) Model(name ident.ModelName) (*Model, bool) {
	for i := range d.Models {
		if d.Models[i].Name == name {
			return &d.Models[i], true
		}
	}
	return nil, false
}

// Service finds a plain service by name.
func (d *Document) Service(name ident.ServiceName) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// ForbidsRepeat reports whether requests of an HTTP method must not be repeated.
func (s *Service) ForbidsRepeat(method string) bool {
	for _, forbidden := range s.ForbidRepeat {
		if forbidden == method {
			return true
		}
	}
	return false
}
