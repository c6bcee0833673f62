package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

const (
	// historyEvery and historyKept bound how exact and how long a report can lag.
	historyEvery = 50 * time.Millisecond
	historyKept  = 1200
	// rateWeight is the share of the newest interval in TokensPerSecond.
	rateWeight = 0.1
)

// Report is the engine's word on itself, without any lag.
func (e *Engine) Report() backend.Report {
	return e.current().report()
}

func (l *life) report() backend.Report {
	report := backend.Report{
		Server:        l.engine.options.Name,
		Incarnation:   l.incarnation,
		At:            time.Now(),
		Memory:        l.engine.options.Memory,
		Slots:         l.engine.options.Slots,
		Leaving:       l.engine.isLeaving(),
		ChecksFencing: l.engine.checksFencing(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, weights := range l.residents {
		report.Residents = append(report.Residents, weights.Resident)
	}
	report.Running = l.running
	report.Waiting = len(l.queue)
	report.TokensPerSecond = l.rate
	report.Fencing = l.fencing
	report.Settled = slices.Clone(l.settled)
	return report
}

// keepHistory takes a report at each tick, for ReportLag and the token rate.
func (e *Engine) keepHistory() error {
	ticker := time.NewTicker(historyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.current().record()
		case <-e.server.Dying():
			// Loads and delayed orders would hold the stop up.
			e.current().end()
			return nil
		}
	}
}

func (l *life) record() {
	report := l.report()
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := float64(l.generated) / historyEvery.Seconds()
	l.generated = 0
	l.rate += rateWeight * (rate - l.rate)
	l.history = append(l.history, report)
	if over := len(l.history) - historyKept; over > 0 {
		l.history = slices.Delete(l.history, 0, over)
	}
}

// reportOf is the report as it was so long ago, or the oldest there is.
func (l *life) reportOf(lag time.Duration) backend.Report {
	now := l.report()
	if lag <= 0 {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	until := now.At.Add(-lag)
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].At.After(until) {
			return l.history[i]
		}
	}
	if len(l.history) > 0 {
		return l.history[0]
	}
	return now
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	report := e.current().reportOf(time.Duration(e.Faults.Get().ReportLag))
	body, err := engineapi.EncodeReport(&report)
	server.WriteJSON(w, http.StatusOK, body, err)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	life := e.current()
	body, err := engineapi.EncodeCacheEvents(engineapi.CacheEvents{
		Incarnation: life.incarnation,
		Events:      life.cacheEvents(after),
	})
	server.WriteJSON(w, http.StatusOK, body, err)
}
