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

// defaultDecisionLimit is how many of the newest decisions are returned unless the
// request sets limit.
const defaultDecisionLimit = 50

// maxIDLength limits the id of a query, in bytes; no id is longer.
const maxIDLength = 200

// decisions returns the newest decisions, or with ?id= those about one request, attempt
// or order, as JSON or with ?format=text as text.
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
	// authorize has checked the token; here it only selects the decisions to show.
	owner, _ := s.findTokenOwner(request.Header.Get("Authorization"))
	query.Team = owner.team
	query.AllTeams = owner.isAdmin
	report, err := s.Control.Explain(request.Context(), query)
	if err != nil {
		return unavailable(w, err)
	}
	status := http.StatusOK
	if query.ID != "" && len(report.Decisions) == 0 {
		status = http.StatusNotFound
	}
	if format == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(status)
		_, err := w.Write([]byte(decisionsText(&query, &report)))
		return err
	}
	return writeJSON(w, status, encodeDecisions(&report))
}

func readQuery(values url.Values) (decisions.Query, error) {
	query := decisions.Query{
		ID:    values.Get("id"),
		Limit: defaultDecisionLimit,
	}
	if len(query.ID) > maxIDLength {
		return query, errors.Errorf("id: found %d characters, allowed up to %d", len(query.ID), maxIDLength)
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

// decisionsText formats the decisions as text. Without an answer from every host, an
// empty result proves nothing, so the missing hosts are listed.
func decisionsText(query *decisions.Query, report *loop.DecisionsReport) string {
	text := decisions.FormatText(report.Decisions)
	switch {
	case text != "":
	case query.ID == "":
		text = "no decisions are remembered\n"
	default:
		text = "no decision about " + query.ID + " is remembered: answered requests are not kept, nor are old decisions, other teams', or those of hosts that were replaced\n"
	}
	if len(report.Missing) > 0 {
		text += "no answer from: " + strings.Join(hostNames(report.Missing), ", ") + "\n"
	}
	return text
}

func hostNames(hosts []ident.HostID) []string {
	var names []string
	for _, host := range hosts {
		names = append(names, string(host))
	}
	return names
}

func encodeDecisions(report *loop.DecisionsReport) wireDecisions {
	wire := wireDecisions{
		Hosts:     hostNames(report.Hosts),
		Missing:   hostNames(report.Missing),
		Decisions: make([]wireDecision, 0, len(report.Decisions)),
	}
	for i := range report.Decisions {
		wire.Decisions = append(wire.Decisions, encodeDecision(&report.Decisions[i]))
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
		wire.Have = &d.ReadyReplicas
		wire.Want = &d.WantedReplicas
	}
	return wire
}
