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
	// historyInterval is the resolution of ReportLag; historyInterval *
	// maxHistoryReports, one minute, is the longest lag.
	historyInterval   = 50 * time.Millisecond
	maxHistoryReports = 1200
	// rateSmoothing is the weight of the newest interval in the moving average
	// TokensPerSecond.
	rateSmoothing = 0.1
)

// Report returns the current report, regardless of ReportLag.
func (e *Engine) Report() backend.Report {
	return e.current().report()
}

func (inc *incarnation) report() backend.Report {
	report := backend.Report{
		Server:        inc.engine.options.Name,
		Incarnation:   inc.id,
		ReportedAt:    time.Now(),
		Memory:        inc.engine.options.Memory,
		Slots:         inc.engine.options.Slots,
		Leaving:       inc.engine.isLeaving(),
		ChecksFencing: inc.engine.checksFencing(),
	}
	inc.mu.Lock()
	defer inc.mu.Unlock()
	for _, weights := range inc.residents {
		report.Residents = append(report.Residents, weights.Resident)
	}
	report.Running = inc.running
	report.Waiting = len(inc.queue)
	report.TokensPerSecond = inc.tokensPerSecond
	report.Fencing = inc.fencing
	report.Settled = slices.Clone(inc.settled)
	return report
}

// recordReports records a report at each interval, for ReportLag and the token
// rate.
func (e *Engine) recordReports() error {
	ticker := time.NewTicker(historyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.current().recordReport()
		case <-e.server.Dying():
			// Otherwise loads and delayed orders would delay the stop.
			e.current().terminate()
			return nil
		}
	}
}

func (inc *incarnation) recordReport() {
	report := inc.report()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	newestRate := float64(inc.generatedTokens) / historyInterval.Seconds()
	inc.generatedTokens = 0
	inc.tokensPerSecond += rateSmoothing * (newestRate - inc.tokensPerSecond)
	inc.history = append(inc.history, report)
	if excess := len(inc.history) - maxHistoryReports; excess > 0 {
		inc.history = slices.Delete(inc.history, 0, excess)
	}
}

// reportWithLag returns the report as it was lag ago, or the oldest recorded one.
func (inc *incarnation) reportWithLag(lag time.Duration) backend.Report {
	latest := inc.report()
	if lag <= 0 {
		return latest
	}
	inc.mu.Lock()
	defer inc.mu.Unlock()
	cutoff := latest.ReportedAt.Add(-lag)
	for i := len(inc.history) - 1; i >= 0; i-- {
		if !inc.history[i].ReportedAt.After(cutoff) {
			return inc.history[i]
		}
	}
	if len(inc.history) > 0 {
		return inc.history[0]
	}
	return latest
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	report := e.current().reportWithLag(time.Duration(e.Faults.Get().ReportLag))
	body, err := engineapi.EncodeReport(&report)
	server.WriteJSON(w, http.StatusOK, body, err)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	current := e.current()
	body, err := engineapi.EncodeCacheEvents(engineapi.CacheEvents{
		Incarnation: current.id,
		Events:      current.cacheEvents(after),
	})
	server.WriteJSON(w, http.StatusOK, body, err)
}
