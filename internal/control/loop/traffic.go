package loop

import (
	"time"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
)

// requestFinished is the outcome of one request.
type requestFinished struct {
	sample burn.Sample
}

// ReportResult implements dispatch.Reporter.
func (l *Loop) ReportResult(sample burn.Sample) {
	l.trySend(requestFinished{
		sample: sample,
	})
}

func (m requestFinished) apply(now time.Time, c *control) {
	c.burn.Count(now, m.sample)
	c.requestCounts[m.sample.Model]++
}

// suspectCleared is a suspect request that was answered.
type suspectCleared struct {
	fingerprint ident.Fingerprint
}

// ReportCleared implements dispatch.Reporter.
func (l *Loop) ReportCleared(fingerprint ident.Fingerprint) {
	l.trySend(suspectCleared{
		fingerprint: fingerprint,
	})
}

func (m suspectCleared) apply(now time.Time, c *control) {
	if c.suspectMachine.Step(now, suspects.Cleared{
		Fingerprint: m.fingerprint,
	}) {
		c.suspects.Store(c.suspectMachine.View())
	}
}
