package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

// explainPath is where the metrics listener says where a request would go.
const explainPath = "/explain"

const (
	// maxExplainedOptions bounds the servers that are listed for a service, maxExplainedTokens
	// the size of a prompt that may be asked about.
	maxExplainedOptions = 32
	maxExplainedTokens  = 10_000_000
)

// explainedRequest is a request that isn't sent. It names the account: keys never go through the
// operators' tools.
type explainedRequest struct {
	Host    string
	Path    string
	Account ident.AccountName
	Weights request.Weights
	Tokens  unit.Tokens
}

// explanation says where a request would go now.
type explanation struct {
	AskedHost     string
	Configuration int64
	Route         string `json:",omitempty"`
	Priority      int
	Objective     string `json:",omitempty"`
	Timeout       string `json:",omitempty"`
	// Denied is why the configuration doesn't allow the request, empty if it does.
	Denied  string             `json:",omitempty"`
	Targets []explainedService `json:",omitempty"`
}

// explainedService is one of the route's services.
type explainedService struct {
	Service string
	// Share is the fraction of the route's requests that go to the service.
	Share   float64
	Verdict string
	Why     string
	// Servers is how many servers could answer, Options the first of them.
	Servers int
	Options []explainedOption `json:",omitempty"`
}

// explainedOption is a server that could answer. Costs are in milliseconds.
type explainedOption struct {
	Server      string
	DataCentre  string
	Region      string
	Build       string `json:",omitempty"`
	Obstacle    string `json:",omitempty"`
	InFlight    int
	Slots       int
	Pace        float64
	CostMs      float64
	FirstByteMs float64
	PrefillMs   float64
	NetworkMs   float64
	ErrorsMs    float64
}

// explain says where a request would go now. It only reads: nothing is counted as demand, sent or
// reserved.
func (g *Gateway) explain(now time.Time, asked *explainedRequest) explanation {
	answer := explanation{
		AskedHost: string(g.options.Settings.Host.Name),
	}
	table := g.routes.Load()
	if table == nil {
		answer.Denied = "this host has no configuration yet"
		return answer
	}
	configuration := table.Configuration()
	answer.Configuration = int64(configuration.Version)
	found := table.Find(asked.Host, asked.Path)
	if found == nil {
		answer.Denied = "no route"
		return answer
	}
	answer.Route, answer.Priority = found.Name, found.Priority
	answer.Objective, answer.Timeout = found.Objective.String(), found.Timeout.String()
	client := slices.IndexFunc(configuration.Accounts, func(a account.Account) bool { return a.Name == asked.Account })
	switch {
	case asked.Account != "" && client < 0:
		answer.Denied = "no such account"
		return answer
	case asked.Account == "" && len(configuration.Accounts) > 0 && !found.Anonymous:
		answer.Denied = "the route needs the key of an account"
		return answer
	case client >= 0 && configuration.Accounts[client].HasPriority:
		answer.Priority = configuration.Accounts[client].Priority
	}
	total := 0
	for _, target := range found.Targets {
		total += max(target.Weight, 0)
	}
	for i, target := range found.Targets {
		service := g.explainService(now, configuration, target.Service, asked)
		switch {
		case total > 0:
			service.Share = float64(max(target.Weight, 0)) / float64(total)
		case i == 0:
			service.Share = 1
		}
		answer.Targets = append(answer.Targets, service)
	}
	return answer
}

func (g *Gateway) explainService(now time.Time, configuration *route.Configuration, name ident.ServiceName, asked *explainedRequest) explainedService {
	answer := explainedService{
		Service: string(name),
	}
	pool := (*g.pools.Load())[name]
	engine := configuration.Services[name].Engine
	criteria := balance.Criteria{
		Prompt: asked.Tokens,
	}
	switch {
	case pool == nil:
		answer.Verdict, answer.Why = "Refused", "no server of the service is known"
		return answer
	case engine != nil && !engine.Declares(asked.Weights.Model, asked.Weights.Adapter):
		answer.Verdict, answer.Why = "Refused", "the weights are not declared"
		return answer
	case engine != nil:
		criteria.Weights = asked.Weights
	}
	choice := pool.Explain(now, criteria, maxExplainedOptions)
	answer.Verdict, answer.Why, answer.Servers = string(choice.Verdict), reasonOf(choice.Verdict, engine != nil), choice.Servers
	for i := range choice.Options {
		answer.Options = append(answer.Options, encodeOption(&choice.Options[i]))
	}
	return answer
}

// reasonOf says what a verdict means for the request.
func reasonOf(verdict balance.Verdict, hasEngines bool) string {
	switch {
	case verdict == balance.Found && hasEngines:
		return "the prompt scheduler places it at one of the servers without an obstacle, and adds what it has booked there"
	case verdict == balance.Found:
		return "it goes to the cheapest server, after a random addition to each cost"
	case verdict == balance.NoneHolds && hasEngines:
		return "no server that takes requests holds the weights: it waits for a load"
	case verdict == balance.NoneHolds:
		return "no server takes requests: it waits"
	case verdict == balance.NoneTakes:
		return "servers could answer, but none takes a request now: it waits or is refused"
	default:
		return "no server of the build that it needs could answer"
	}
}

func encodeOption(option *balance.Option) explainedOption {
	return explainedOption{
		Server:      string(option.Server),
		DataCentre:  string(option.DataCentre),
		Region:      string(option.Region),
		Build:       string(option.Build),
		Obstacle:    string(option.Obstacle),
		InFlight:    option.InFlight,
		Slots:       option.Slots,
		Pace:        option.Pace,
		CostMs:      milliseconds(option.Cost),
		FirstByteMs: milliseconds(option.FirstByte),
		PrefillMs:   milliseconds(option.Prefill),
		NetworkMs:   milliseconds(option.Network),
		ErrorsMs:    milliseconds(option.Errors),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// writeText writes an explanation for people.
func (e *explanation) writeText(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "host %s, configuration %d\n", e.AskedHost, e.Configuration)
	if e.Route != "" {
		fmt.Fprintf(table, "route %s: priority %d, objective %s, timeout %s\n", e.Route, e.Priority, e.Objective, e.Timeout)
	}
	if e.Denied != "" {
		fmt.Fprintf(table, "denied: %s\n", e.Denied)
	}
	for i := range e.Targets {
		target := &e.Targets[i]
		fmt.Fprintf(table, "\nservice %s, %.0f%% of the route: %s: %s\n", target.Service, 100*target.Share, target.Verdict, target.Why)
		if len(target.Options) > 0 {
			fmt.Fprintf(table, "server\tdata centre\tobstacle\tin flight\tslots\tpace\tcost ms\tfirst byte\tof it prefill\tnetwork\terrors\n")
		}
		for _, o := range target.Options {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", o.Server, o.DataCentre, o.Obstacle, o.InFlight, o.Slots, o.Pace,
				o.CostMs, o.FirstByteMs, o.PrefillMs, o.NetworkMs, o.ErrorsMs)
		}
		if more := target.Servers - len(target.Options); more > 0 {
			fmt.Fprintf(table, "and %d more\n", more)
		}
	}
	return table.Flush()
}

// serveExplain answers one question at a time: an operator's tool must not take the processor
// from requests.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if !g.explaining.TryLock() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer g.explaining.Unlock()
	query := r.URL.Query()
	asked, err := decodeExplainedRequest(query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := g.explain(time.Now(), &asked)
	if query.Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		err = json.NewEncoder(w).Encode(&answer)
	} else {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = answer.writeText(w)
	}
	if err != nil {
		g.log.Debug("explanation not written", zap.Error(err))
	}
}

func decodeExplainedRequest(query url.Values) (explainedRequest, error) {
	asked := explainedRequest{
		Host:    query.Get("host"),
		Path:    query.Get("path"),
		Account: ident.AccountName(query.Get("account")),
		Weights: request.Weights{
			Model:   ident.ModelName(query.Get("model")),
			Adapter: ident.AdapterName(query.Get("adapter")),
		},
	}
	if asked.Host == "" || !strings.HasPrefix(asked.Path, "/") {
		return asked, errors.New("host: allowed a name; path: allowed one that begins with a slash")
	}
	if text := query.Get("tokens"); text != "" {
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens < 0 || tokens > maxExplainedTokens {
			return asked, errors.Errorf("tokens: allowed 0 to %d", maxExplainedTokens)
		}
		asked.Tokens = unit.Tokens(tokens)
	}
	return asked, nil
}
