package demand

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/ident"
)

// Limits of the values in a plan.
const (
	maxRequestsPerSecond = 100_000
	maxWeight            = 1_000_000
	maxWords             = 20_000
	maxTokens            = 4096
	maxPrefixes          = 10_000
	maxFactor            = 1000
	maxPromise           = 10 * time.Minute
	maxSpan              = 7 * 24 * time.Hour
	fullPercent          = 100
)

// ReadFile reads a plan from a file.
func ReadFile(file string) (Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, errors.Wrap(err, "read plan")
	}
	plan, err := Read(data)
	if err != nil {
		return Plan{}, errors.Wrapf(err, "plan in %s", file)
	}
	return plan, nil
}

// Read decodes a plan. Invalid input gives an error of type jsonfile.Faults, which
// lists all faults.
func Read(data []byte) (Plan, error) {
	plan := defaults()
	if err := jsonfile.Read(data, planTable, &plan); err != nil {
		return Plan{}, err
	}
	return plan, nil
}

// Write encodes a plan in the form that Read decodes.
func Write(plan Plan) []byte {
	return jsonfile.Write(plan, planTable)
}

func defaults() Plan {
	return Plan{
		Curve: Curve{
			Kind:   Constant,
			Period: time.Minute,
			From:   0,
			For:    time.Second,
			Factor: 1,
		},
		Timeout: 30 * time.Second,
	}
}

var planTable = jsonfile.Object[Plan]{
	Members: []jsonfile.Member[Plan]{
		jsonfile.Required("Name", func(p *Plan) *string { return &p.Name }, name[string](),
			"The name of the plan, for tables."),
		jsonfile.Required("RequestsPerSecond", func(p *Plan) *float64 { return &p.RequestsPerSecond },
			jsonfile.Number{
				Min: 0,
				Max: maxRequestsPerSecond,
			},
			"The rate of all requests together."),
		jsonfile.Optional("Curve", func(p *Plan) *Curve { return &p.Curve }, curveTable,
			""),
		jsonfile.Optional("Timeout", func(p *Plan) *time.Duration { return &p.Timeout },
			duration(time.Millisecond, maxPromise),
			"How long a caller waits for its whole answer."),
		jsonfile.Optional("Models", func(p *Plan) *[]Model { return &p.Models },
			jsonfile.List[Model]{
				Item: modelTable,
			},
			"The models asked for."),
		jsonfile.Optional("Services", func(p *Plan) *[]Service { return &p.Services },
			jsonfile.List[Service]{
				Item: serviceTable,
			},
			"The plain services asked for."),
		jsonfile.Optional("Classes", func(p *Plan) *[]Class { return &p.Classes },
			jsonfile.List[Class]{
				Item: classTable,
			},
			"The classes of callers; without any, requests name none."),
		jsonfile.Required("Lengths", func(p *Plan) *[]Length { return &p.Lengths },
			jsonfile.List[Length]{
				Item: lengthTable,
				Min:  1,
			},
			"The lengths of messages and their answers."),
		jsonfile.Optional("Prefixes", func(p *Plan) *Prefixes { return &p.Prefixes }, prefixesTable,
			""),
	},
	Check: checkPlan,
}

var curveTable = jsonfile.Object[Curve]{
	Members: []jsonfile.Member[Curve]{
		jsonfile.Optional("Kind", func(c *Curve) *CurveKind { return &c.Kind },
			jsonfile.Text[CurveKind]{
				OneOf: []CurveKind{Constant, Night, Burst},
			},
			"How the rate changes."),
		jsonfile.Optional("Period", func(c *Curve) *time.Duration { return &c.Period }, duration(time.Millisecond, maxSpan),
			"For Night: the length of a day, whose rate halves in its middle."),
		jsonfile.Optional("From", func(c *Curve) *time.Duration { return &c.From }, duration(0, maxSpan),
			"For Burst: how long after the start it begins."),
		jsonfile.Optional("For", func(c *Curve) *time.Duration { return &c.For }, duration(time.Millisecond, maxSpan),
			"For Burst: how long it lasts."),
		jsonfile.Optional("Factor", func(c *Curve) *float64 { return &c.Factor },
			jsonfile.Number{
				Min: 0,
				Max: maxFactor,
			},
			"For Burst: how many times the rate it is."),
		jsonfile.Optional("Only", func(c *Curve) *string { return &c.Only },
			jsonfile.Text[string]{
				MayBeEmpty: true,
			},
			"The one model or service whose rate changes; without it, that of all."),
	},
}

var modelTable = jsonfile.Object[Model]{
	NewDefault: func() Model {
		return Model{
			StreamedPercent: fullPercent,
		}
	},
	Members: []jsonfile.Member[Model]{
		jsonfile.Required("Name", func(m *Model) *ident.ModelName { return &m.Name }, name[ident.ModelName](),
			"The model."),
		jsonfile.Required("Weight", func(m *Model) *float64 { return &m.Weight }, weight(),
			"Its part of all requests, against the other weights."),
		jsonfile.Required("FirstToken", func(m *Model) *time.Duration { return &m.Promise.FirstToken }, duration(time.Millisecond, maxPromise),
			"The promised time to the first token."),
		jsonfile.Required("BetweenTokens", func(m *Model) *time.Duration { return &m.Promise.BetweenTokens }, duration(time.Millisecond, maxPromise),
			"The promised time between two tokens, on average over an answer."),
		jsonfile.Optional("Adapters", func(m *Model) *[]ident.AdapterName { return &m.Adapters },
			jsonfile.List[ident.AdapterName]{
				Item: name[ident.AdapterName](),
			},
			"Its adapters that are asked for, each as often as any."),
		jsonfile.Optional("AdapterPercent", func(m *Model) *int { return &m.AdapterPercent }, percent(),
			"How many of a hundred requests go to an adapter."),
		jsonfile.Optional("StreamedPercent", func(m *Model) *int { return &m.StreamedPercent }, percent(),
			"How many of a hundred answers are streamed."),
		jsonfile.Optional("KeyedPercent", func(m *Model) *int { return &m.Keys.Percent }, percent(),
			"How many of a hundred requests carry an Idempotency-Key."),
		jsonfile.Optional("TwicePercent", func(m *Model) *int { return &m.Keys.TwicePercent }, percent(),
			"How many of a hundred requests with a key are sent twice."),
	},
}

var serviceTable = jsonfile.Object[Service]{
	NewDefault: func() Service {
		return Service{
			Method: http.MethodPost,
			Path:   "/",
		}
	},
	Members: []jsonfile.Member[Service]{
		jsonfile.Required("Name", func(s *Service) *ident.ServiceName { return &s.Name }, name[ident.ServiceName](),
			"The service."),
		jsonfile.Required("Weight", func(s *Service) *float64 { return &s.Weight }, weight(),
			"Its part of all requests, against the other weights."),
		jsonfile.Required("FirstToken", func(s *Service) *time.Duration { return &s.Promise.FirstToken }, duration(time.Millisecond, maxPromise),
			"The promised time to the whole answer."),
		jsonfile.Optional("Method", func(s *Service) *string { return &s.Method },
			jsonfile.Text[string]{
				OneOf: []string{http.MethodPost, http.MethodPut, http.MethodPatch},
			},
			"The HTTP method."),
		jsonfile.Optional("Path", func(s *Service) *string { return &s.Path },
			jsonfile.Text[string]{
				Check: func(text string) bool { return strings.HasPrefix(text, "/") },
				Form:  "a path that begins with /",
			},
			"The path within the service."),
		jsonfile.Optional("KeyedPercent", func(s *Service) *int { return &s.Keys.Percent }, percent(),
			"How many of a hundred requests carry an Idempotency-Key."),
		jsonfile.Optional("TwicePercent", func(s *Service) *int { return &s.Keys.TwicePercent }, percent(),
			"How many of a hundred requests with a key are sent twice."),
	},
}

var classTable = jsonfile.Object[Class]{
	Members: []jsonfile.Member[Class]{
		jsonfile.Required("Name", func(c *Class) *ident.ClassName { return &c.Name }, name[ident.ClassName](),
			"The class, as the team's document has it."),
		jsonfile.Required("Weight", func(c *Class) *float64 { return &c.Weight }, weight(),
			"Its part of all requests, against the other weights."),
	},
}

var lengthTable = jsonfile.Object[Length]{
	Members: []jsonfile.Member[Length]{
		jsonfile.Required("Words", func(l *Length) *int { return &l.Words }, count(1, maxWords),
			"The words of the message."),
		jsonfile.Required("Tokens", func(l *Length) *int { return &l.Tokens }, count(1, maxTokens),
			"The tokens asked for as an answer."),
		jsonfile.Required("Weight", func(l *Length) *float64 { return &l.Weight }, weight(),
			"Its part of all requests, against the other weights."),
	},
}

var prefixesTable = jsonfile.Object[Prefixes]{
	Members: []jsonfile.Member[Prefixes]{
		jsonfile.Optional("Count", func(p *Prefixes) *int { return &p.Count }, count(0, maxPrefixes),
			"How many texts there are for each model; 0 for none."),
		jsonfile.Optional("Words", func(p *Prefixes) *int { return &p.Words }, count(0, maxWords),
			"The words of each."),
		jsonfile.Optional("Percent", func(p *Prefixes) *int { return &p.Percent }, percent(),
			"How many of a hundred chats begin with one of them."),
	},
}

var namePattern = regexp.MustCompile(`[A-Za-z0-9][A-Za-z0-9._-]*`)

func name[S ~string]() jsonfile.Text[S] {
	return jsonfile.Text[S]{
		Pattern: namePattern,
		Form:    "a name of letters, digits, . _ and -",
	}
}

func duration(minimum, maximum time.Duration) jsonfile.Duration {
	return jsonfile.Duration{
		Min: minimum,
		Max: maximum,
	}
}

func weight() jsonfile.Number {
	return jsonfile.Number{
		Min: 0,
		Max: maxWeight,
	}
}

func count(minimum, maximum int) jsonfile.Integer[int] {
	return jsonfile.Integer[int]{
		Min: minimum,
		Max: maximum,
	}
}

func percent() jsonfile.Integer[int] {
	return count(0, fullPercent)
}

// checkPlan reports members that are valid alone but not together: weights that
// are all 0, AdapterPercent without adapters, a curve for an unknown name.
func checkPlan(p *Plan, path string, faults *jsonfile.Faults) {
	known := make(map[string]bool)
	total := 0.0
	for i := range p.Models {
		known[string(p.Models[i].Name)] = true
		total += p.Models[i].Weight
		if p.Models[i].AdapterPercent > 0 && len(p.Models[i].Adapters) == 0 {
			at := jsonfile.MemberPath(jsonfile.ItemPath(jsonfile.MemberPath(path, "Models"), i), "Adapters")
			faults.Add(at, "none", "at least one, since AdapterPercent is above 0")
		}
	}
	for i := range p.Services {
		known[string(p.Services[i].Name)] = true
		total += p.Services[i].Weight
	}
	if total <= 0 {
		faults.Add(path, "no model or service with a weight above 0", "at least one")
	}
	if p.Curve.Only != "" && !known[p.Curve.Only] {
		faults.Add(jsonfile.MemberPath(path, "Curve.Only"), `"`+p.Curve.Only+`"`, "the name of one of Models or Services")
	}
	checkWeights(jsonfile.MemberPath(path, "Lengths"), p.Lengths, func(l Length) float64 { return l.Weight }, faults)
	checkWeights(jsonfile.MemberPath(path, "Classes"), p.Classes, func(c Class) float64 { return c.Weight }, faults)
}

func checkWeights[T any](path string, items []T, weight func(T) float64, faults *jsonfile.Faults) {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	if len(items) > 0 && total <= 0 {
		faults.Add(path, "weights of 0 in all", "at least one weight above 0")
	}
}
