package sizes

import (
	"net/http"
	"time"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/load/demand"
)

// Defaults of the load plans.
const (
	requestTimeout  = 5 * time.Second
	adapterPercent  = 40
	streamedPercent = 80
	servicePromise  = 250 * time.Millisecond
	// All requests to the service have an idempotency key, and twicePercent of them
	// are sent twice.
	keyedPercent  = 100
	twicePercent  = 5
	prefixCount   = 8
	prefixWords   = 120
	prefixPercent = 60
	modelVersion  = "1"
)

// Plan returns the load plan of an ordinary day: a constant rate.
func (s *Size) Plan() demand.Plan {
	plan := demand.Plan{
		Name:              string(s.Name),
		RequestsPerSecond: s.RequestsPerSecond,
		Curve: demand.Curve{
			Kind:   demand.Constant,
			Period: time.Minute,
			For:    time.Second,
			Factor: 1,
		},
		Timeout: requestTimeout,
		Lengths: messageLengths(),
		Prefixes: demand.Prefixes{
			Count:   prefixCount,
			Words:   prefixWords,
			Percent: prefixPercent,
		},
		Services: []demand.Service{
			{
				Name:   s.Service.Name,
				Weight: s.Service.Weight,
				Method: http.MethodPost,
				Path:   s.Service.Path,
				Promise: document.Promise{
					FirstToken: servicePromise,
				},
				Keys: demand.IdempotencyKeys{
					Percent:      keyedPercent,
					TwicePercent: twicePercent,
				},
			},
		},
	}
	for _, class := range s.Classes {
		plan.Classes = append(plan.Classes, demand.Class{
			Name:   class.Name,
			Weight: class.Weight,
		})
	}
	for i := range s.Models {
		plan.Models = append(plan.Models, demand.Model{
			Name:            s.Models[i].Name,
			Weight:          s.Models[i].Weight,
			Promise:         s.promise(),
			Adapters:        s.Models[i].Adapters,
			AdapterPercent:  adapterPercent,
			StreamedPercent: s.StreamedPercent,
		})
	}
	return plan
}

func messageLengths() []demand.Length {
	return []demand.Length{
		{
			Words:  15,
			Tokens: 8,
			Weight: 4,
		},
		{
			Words:  40,
			Tokens: 16,
			Weight: 5,
		},
		{
			Words:  200,
			Tokens: 40,
			Weight: 1,
		},
	}
}

func (s *Size) promise() document.Promise {
	return document.Promise{
		FirstToken:    s.Timing.PromiseFirstToken,
		BetweenTokens: s.Timing.PromiseBetweenTokens,
	}
}

// Document returns the team's document.
func (s *Size) Document() *document.Document {
	doc := document.Document{
		Team:         s.Name,
		DefaultClass: s.Classes[0].Name,
		Services: []document.Service{
			{
				Name:         s.Service.Name,
				ForbidRepeat: []string{http.MethodPost},
				Promise: document.Promise{
					FirstToken: servicePromise,
				},
			},
		},
	}
	for _, class := range s.Classes {
		doc.Classes = append(doc.Classes, document.Class{
			Name:  class.Name,
			Share: class.Share,
		})
	}
	for i := range s.Models {
		doc.Models = append(doc.Models, s.documentModel(&s.Models[i]))
	}
	return &doc
}

func (s *Size) documentModel(model *Model) document.Model {
	entry := document.Model{
		Name:        model.Name,
		Version:     modelVersion,
		Memory:      model.Memory,
		Replicas:    model.Replicas,
		MaxReplicas: model.MaxReplicas,
		MayRepeat:   true,
		Promise:     s.promise(),
	}
	for _, adapter := range model.Adapters {
		entry.Adapters = append(entry.Adapters, document.Adapter{
			Name:    adapter,
			Version: modelVersion,
			Memory:  adapterMemory,
		})
	}
	return entry
}
