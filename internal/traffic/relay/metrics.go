package relay

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

// Metrics counts requests and sends. Request metrics are labelled only by the kind and
// priority of the route, since there may be hundreds of routes.
type Metrics struct {
	set      *metrics.Set
	mu       sync.Mutex
	accounts map[ident.AccountName]struct{} // those that have a label
}

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:      set,
		accounts: make(map[ident.AccountName]struct{}),
	}
}

func labels(r *route.Route) string {
	if r == nil {
		return `kind="None",priority="0"`
	}
	return `kind="` + string(r.Kind) + `",priority="` + strconv.Itoa(r.Priority) + `"`
}

func (m *Metrics) recordAnswer(r *route.Route, status int, took time.Duration) {
	m.set.GetOrCreateCounter(`cicadaloom_requests_total{` + labels(r) + `,status="` + strconv.Itoa(status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`cicadaloom_request_seconds{` + labels(r) + `}`).Update(took.Seconds())
}

// maxAccountLabels bounds the number of accounts that have metrics of their own.
const maxAccountLabels = 1000

// recordAccount counts an account's answers, and what it has been charged for those that
// were served.
func (m *Metrics) recordAccount(name ident.AccountName, status int, cost account.Amount) {
	label := `account=` + strconv.Quote(m.accountLabel(name))
	m.set.GetOrCreateCounter(`cicadaloom_account_requests_total{` + label + `,status="` + strconv.Itoa(status) + `"}`).Inc()
	if status == http.StatusOK {
		m.set.GetOrCreateFloatCounter(`cicadaloom_account_usage_total{` + label + `}`).Add(float64(cost))
	}
}

// accountLabel returns an account's name or, beyond maxAccountLabels, one for all others.
func (m *Metrics) accountLabel(name ident.AccountName) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.accounts[name]; known {
		return string(name)
	}
	if len(m.accounts) >= maxAccountLabels {
		return "others"
	}
	m.accounts[name] = struct{}{}
	return string(name)
}

func (m *Metrics) recordFirstEvent(r *route.Route, took time.Duration) {
	m.set.GetOrCreateHistogram(`cicadaloom_first_event_seconds{` + labels(r) + `}`).Update(took.Seconds())
}

// recordPace counts the paces that servers' answers name.
func (m *Metrics) recordPace(reading pace.Reading) {
	if reading.IsKnown() {
		m.set.GetOrCreateHistogram(`cicadaloom_server_pace`).Update(float64(reading))
	}
}

// recordSignals counts what servers' answers begin to ask for, by kind.
func (m *Metrics) recordSignals(change backpressure.Change) {
	if change == (backpressure.Change{}) {
		return
	}
	for kind, began := range map[string]bool{
		"RequestLimit": change.LimitNamed,
		"Rest":         change.RestBegan,
		"Leaving":      change.LeavingBegan,
		"Brittle":      change.BrittleBegan,
	} {
		if began {
			m.set.GetOrCreateCounter(`cicadaloom_server_signals_total{kind="` + kind + `"}`).Inc()
		}
	}
}

// recordStrayAnswer counts the answers that came for another request than their own.
func (m *Metrics) recordStrayAnswer() {
	m.set.GetOrCreateCounter(`cicadaloom_stray_answers_total{at="Request"}`).Inc()
}

// recordResumption counts the streams that clients resume, by whether the build that began them was
// found.
func (m *Metrics) recordResumption(result string) {
	m.set.GetOrCreateCounter(`cicadaloom_streams_resumed_total{result="` + result + `"}`).Inc()
}

// recordNoRoom counts what found no room in the bytes that the host may hold: the body of a request,
// an answer, or an event of a stream.
func (m *Metrics) recordNoRoom(what string) {
	m.set.GetOrCreateCounter(`cicadaloom_no_memory_total{for="` + what + `"}`).Inc()
}

func (m *Metrics) recordSend(service ident.ServiceName, result balance.Result) {
	m.set.GetOrCreateCounter(`cicadaloom_sends_total{service="` + string(service) + `",result="` + string(result) + `"}`).Inc()
}
