package operator

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/loop"
	"cicadaloom/internal/domain/ident"
)

// defaultLimit is how many of the newest decisions are shown unless the
// operator says.
const defaultLimit = 50

// maxID bounds an id that is looked for; none that can be found is longer.
const maxID = 200

// decisions gives the newest decisions, or with ?id= those about one request,
// attempt or order, as JSON or with ?format=text for a person to read.
func (s *Server) decisions(w http.ResponseWriter, request bunrouter.Request) error {
	values := request.URL.Query()
	query, err := readQuery(values)
	if err != nil {
		return badInput(w, err.Error())
	}
	format := values.Get("format")
	if format != "" && format != "json" && format != "text" {
		return badInput(w, "format: found "+strconv.Quote(format)+", allowed json or text")
	}
	// The token has been checked; it only says here whose decisions are shown.
	who, _ := s.bearer(request.Header.Get("Authorization"))
	query.Team = who.team
	query.AllTeams = who.admin
	decided, err := s.Control.Explain(request.Context(), query)
	if err != nil {
		return unavailable(w, err)
	}
	status := http.StatusOK
	if query.ID != "" && len(decided.Decisions) == 0 {
		status = http.StatusNotFound
	}
	if format == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(status)
		_, err := w.Write([]byte(explained(&query, &decided)))
		return err
	}
	return writeJSON(w, status, encodeDecided(&decided))
}

func readQuery(values url.Values) (decisions.Query, error) {
	query := decisions.Query{
		ID:    values.Get("id"),
		Limit: defaultLimit,
	}
	if len(query.ID) > maxID {
		return query, errors.Errorf("id: found %d characters, allowed up to %d", len(query.ID), maxID)
	}
	if text := values.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > decisions.MaxLimit {
			return query, errors.Errorf("limit: found %q, allowed 1 to %d", text, decisions.MaxLimit)
		}
		query.Limit = limit
	}
	return query, nil
}

// explained is the answer to a person. That nothing was found proves nothing
// where a host has not answered, so it is said.
func explained(query *decisions.Query, decided *loop.Decided) string {
	text := decisions.Text(decided.Decisions)
	switch {
	case text != "":
	case query.ID == "":
		text = "no decisions are remembered\n"
	default:
		text = "no decision about " + query.ID + " is remembered: answered requests are not kept, nor are old decisions, other teams', or those of hosts that were replaced\n"
	}
	if len(decided.Missing) > 0 {
		text += "no answer from: " + strings.Join(namesOf(decided.Missing), ", ") + "\n"
	}
	return text
}

func namesOf(hosts []ident.HostID) []string {
	var names []string
	for _, host := range hosts {
		names = append(names, string(host))
	}
	return names
}

func encodeDecided(decided *loop.Decided) wireDecisions {
	wire := wireDecisions{
		Hosts:     namesOf(decided.Hosts),
		Missing:   namesOf(decided.Missing),
		Decisions: make([]wireDecision, 0, len(decided.Decisions)),
	}
	for i := range decided.Decisions {
		wire.Decisions = append(wire.Decisions, encodeDecision(&decided.Decisions[i]))
	}
	return wire
}

func encodeDecision(d *decisions.Decision) wireDecision {
	wire := wireDecision{
		Kind:    string(d.Kind),
		At:      d.At.UTC(),
		Host:    string(d.Host),
		Team:    string(d.Team),
		Request: string(d.Request),
		Attempt: string(d.Attempt),
		Order:   string(d.Order),
		Target:  d.Target,
		Class:   string(d.Class),
		Server:  string(d.Server),
		Code:    d.Code,
		Run:     d.Run,
		Message: d.Message,
	}
	if !d.RetryAt.IsZero() {
		retryAt := d.RetryAt.UTC()
		wire.RetryAt = &retryAt
	}
	if d.Kind == decisions.KindMove {
		wire.Have = &d.Have
		wire.Want = &d.Want
	}
	return wire
}
