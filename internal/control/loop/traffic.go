package loop

import (
	"time"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
)

// finished is how one request fared.
type finished struct {
	sample burn.Sample
}

// Finished implements dispatch.Reporter.
func (l *Loop) Finished(sample burn.Sample) {
	l.tell(finished{
		sample: sample,
	})
}

func (m finished) apply(now time.Time, c *control) {
	c.burn.Count(now, m.sample)
	c.askedFor[m.sample.Model]++
}

// cleared is a suspect that was answered after all.
type cleared struct {
	fingerprint ident.Fingerprint
}

// Cleared implements dispatch.Reporter.
func (l *Loop) Cleared(fingerprint ident.Fingerprint) {
	l.tell(cleared{
		fingerprint: fingerprint,
	})
}

func (m cleared) apply(now time.Time, c *control) {
	if c.suspected.Step(now, suspects.Cleared{
		Fingerprint: m.fingerprint,
	}) {
		c.suspects.Store(c.suspected.View())
	}
}
