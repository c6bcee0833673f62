// Package document has a team's document: the models, adapters, versions and
// plain services that the team offers, which callers come first, which
// requests may never be repeated, and the promised times.
//
// A document is plain data and knows nothing of JSON: package
// internal/config/teamdoc reads, checks and writes it. Values are shared
// between goroutines once accepted and never change after that.
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
	// Classes are the caller classes, the first coming first.
	Classes []Class
	// DefaultClass takes callers that name no class.
	DefaultClass ident.ClassName
}

// Model is a model that must always be reachable.
type Model struct {
	Name    ident.ModelName
	Version ident.Version
	// Memory is what one replica takes on a backend server.
	Memory unit.Bytes
	// Replicas is the least number of replicas; placement may add more.
	Replicas int
	// MaxReplicas is the greatest number of replicas.
	MaxReplicas int
	// MayRepeat tells that running a request twice does no harm.
	MayRepeat bool
	Promise   Promise
	Adapters  []Adapter
}

// Adapter is a small change to a model's weights, asked for as a model of its
// own name.
type Adapter struct {
	Name    ident.AdapterName
	Version ident.Version
	Memory  unit.Bytes
}

// Service is a plain service beside the engines.
type Service struct {
	Name ident.ServiceName
	// ForbidRepeat lists the HTTP methods whose requests may not be repeated.
	ForbidRepeat []string
	Promise      Promise
}

// Promise is the promised time of a model or service.
type Promise struct {
	// FirstToken is the time to the first token, or to a service's whole answer.
	FirstToken time.Duration
	// BetweenTokens is the time between two tokens; zero for services.
	BetweenTokens time.Duration
}

// Between gives the promised time from the first token to the last of an answer.
func (p Promise) Between(tokens unit.Tokens) time.Duration {
	return time.Duration(max(tokens-1, 0)) * p.BetweenTokens
}

// Class is a class of callers.
type Class struct {
	Name ident.ClassName
	// Share is the part of the team's capacity, in percent, that the class
	// keeps even when classes before it are busy.
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

// ForbidsRepeat tells whether requests of an HTTP method may not be repeated.
func (s *Service) ForbidsRepeat(method string) bool {
	for _, forbidden := range s.ForbidRepeat {
		if forbidden == method {
			return true
		}
	}
	return false
}
