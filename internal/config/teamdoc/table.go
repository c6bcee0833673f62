package teamdoc

import (
	"net/http"
	"regexp"
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

const (
	maxNameBytes     = 64
	maxTeamNameBytes = 63
	maxModels        = 2000
	maxAdapters      = 2000
	maxServices      = 500
	maxClasses       = 16
	maxReplicas      = 1000
	maxModelMemory   = 4096 * unit.Gibibyte
	maxPromise       = 10 * time.Minute
	minPromise       = time.Millisecond
)

// Names are part of URLs, keys of the key-value service and metrics, so they have
// no slash, space or character that needs escaping. A team's name is also a label
// of a host name.
var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)
	teamPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
)

func nameCodec[S ~string]() jsonfile.Text[S] {
	return jsonfile.Text[S]{
		Max:     maxNameBytes,
		Pattern: namePattern,
		Form:    "a name of letters, digits and . _ - that starts and ends with a letter or digit,",
	}
}

var teamNameCodec = jsonfile.Text[ident.TeamName]{
	Max:     maxTeamNameBytes,
	Pattern: teamPattern,
	Form:    "a name of a-z, 0-9 and - that starts and ends with a letter or digit,",
}

var documentTable = jsonfile.Object[document.Document]{
	Members: []jsonfile.Member[document.Document]{
		jsonfile.Required("Team", func(d *document.Document) *ident.TeamName { return &d.Team }, teamNameCodec,
			"The team that owns the document."),
		jsonfile.Required("Classes", func(d *document.Document) *[]document.Class { return &d.Classes },
			jsonfile.List[document.Class]{
				Item: classTable,
				Min:  1,
				Max:  maxClasses,
			},
			"The classes of callers, the first coming first."),
		jsonfile.Required("DefaultClass", func(d *document.Document) *ident.ClassName { return &d.DefaultClass }, nameCodec[ident.ClassName](),
			"The class of callers that name none: one of Classes."),
		jsonfile.Optional("Models", func(d *document.Document) *[]document.Model { return &d.Models },
			jsonfile.List[document.Model]{
				Item: modelTable,
				Max:  maxModels,
			},
			"The models, each of which stays reachable."),
		jsonfile.Optional("Services", func(d *document.Document) *[]document.Service { return &d.Services },
			jsonfile.List[document.Service]{
				Item: serviceTable,
				Max:  maxServices,
			},
			"The plain services beside the models."),
	},
	Check: checkDocument,
}

var classTable = jsonfile.Object[document.Class]{
	Members: []jsonfile.Member[document.Class]{
		jsonfile.Required("Name", func(c *document.Class) *ident.ClassName { return &c.Name }, nameCodec[ident.ClassName](),
			"The name by which callers say their class."),
		jsonfile.Required("Share", func(c *document.Class) *int { return &c.Share },
			jsonfile.Integer[int]{
				Min: 0,
				Max: 100,
			},
			"The part of the team's capacity, in percent, that the class keeps even when classes before it are busy; at most 100 over all classes."),
	},
}

// MayRepeat has no default, so that every declaration of a model decides it.
var modelTable = jsonfile.Object[document.Model]{
	Members: []jsonfile.Member[document.Model]{
		jsonfile.Required("Name", func(m *document.Model) *ident.ModelName { return &m.Name }, nameCodec[ident.ModelName](),
			"The name by which callers ask for the model; no other model, adapter or service of any team has it."),
		jsonfile.Required("Version", func(m *document.Model) *ident.Version { return &m.Version }, nameCodec[ident.Version](),
			"The version of the weights."),
		jsonfile.Required("Memory", func(m *document.Model) *unit.Bytes { return &m.Memory },
			jsonfile.Bytes{
				Min: 1,
				Max: maxModelMemory,
			},
			"What one replica takes on a backend server, without its adapters."),
		jsonfile.Required("Replicas", func(m *document.Model) *int { return &m.Replicas }, replicasCodec(),
			"The least number of replicas, each on a server of its own."),
		jsonfile.Required("MaxReplicas", func(m *document.Model) *int { return &m.MaxReplicas }, replicasCodec(),
			"The greatest number of replicas; at least Replicas."),
		jsonfile.Required("MayRepeat", func(m *document.Model) *bool { return &m.MayRepeat }, jsonfile.Boolean{},
			"Whether running a request twice does no harm; false makes each request run at most once."),
		jsonfile.Required("Promise", func(m *document.Model) *document.Promise { return &m.Promise }, modelPromiseTable,
			""),
		jsonfile.Optional("Adapters", func(m *document.Model) *[]document.Adapter { return &m.Adapters },
			jsonfile.List[document.Adapter]{
				Item: adapterTable,
				Max:  maxAdapters,
			},
			"The model's adapters."),
	},
	Check: checkModel,
}

func replicasCodec() jsonfile.Integer[int] {
	return jsonfile.Integer[int]{
		Min: 1,
		Max: maxReplicas,
	}
}

var adapterTable = jsonfile.Object[document.Adapter]{
	Members: []jsonfile.Member[document.Adapter]{
		jsonfile.Required("Name", func(a *document.Adapter) *ident.AdapterName { return &a.Name }, nameCodec[ident.AdapterName](),
			"The name by which callers ask for the adapter; no other model, adapter or service of any team has it."),
		jsonfile.Required("Version", func(a *document.Adapter) *ident.Version { return &a.Version }, nameCodec[ident.Version](),
			"The version of the adapter's weights."),
		jsonfile.Required("Memory", func(a *document.Adapter) *unit.Bytes { return &a.Memory },
			jsonfile.Bytes{
				Min: 1,
				Max: maxModelMemory,
			},
			"What the adapter takes beside each replica of its model."),
	},
}

func promiseCodec(low time.Duration) jsonfile.Duration {
	return jsonfile.Duration{
		Min: low,
		Max: maxPromise,
	}
}

var modelPromiseTable = jsonfile.Object[document.Promise]{
	Members: []jsonfile.Member[document.Promise]{
		jsonfile.Required("FirstToken", func(p *document.Promise) *time.Duration { return &p.FirstToken }, promiseCodec(minPromise),
			"The promised time to the first token."),
		jsonfile.Required("BetweenTokens", func(p *document.Promise) *time.Duration { return &p.BetweenTokens }, promiseCodec(minPromise),
			"The promised time between two tokens."),
	},
}

var servicePromiseTable = jsonfile.Object[document.Promise]{
	Members: []jsonfile.Member[document.Promise]{
		jsonfile.Required("FirstToken", func(p *document.Promise) *time.Duration { return &p.FirstToken }, promiseCodec(minPromise),
			"The promised time to the service's whole answer."),
	},
}

// ForbidRepeat has no default, so that every declaration of a service decides it.
var serviceTable = jsonfile.Object[document.Service]{
	Members: []jsonfile.Member[document.Service]{
		jsonfile.Required("Name", func(s *document.Service) *ident.ServiceName { return &s.Name }, nameCodec[ident.ServiceName](),
			"The name by which callers ask for the service; no other model, adapter or service of any team has it."),
		jsonfile.Required("ForbidRepeat", func(s *document.Service) *[]string { return &s.ForbidRepeat },
			jsonfile.List[string]{
				Item: jsonfile.Text[string]{
					OneOf: []string{
						http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
						http.MethodPatch, http.MethodDelete, http.MethodOptions,
					},
				},
			},
			"The HTTP methods whose requests run at most once; may be empty."),
		jsonfile.Required("Promise", func(s *document.Service) *document.Promise { return &s.Promise }, servicePromiseTable,
			""),
	},
	Check: checkService,
}
