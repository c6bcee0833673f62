// Package pace estimates how long work takes at a backend server, compared with what is usual.
//
// Servers share their machines with others, and some name in their answers how long work takes
// there at the moment: a Reading. A server's pace has a lasting level, and spells in which work
// takes longer. A Tracker tells the two apart from readings that are few and old when they are
// used: the level is a median over some time, which a spell shorter than half of it leaves
// alone; the pace expected now is the last reading, which counts for less as it ages, and the
// level in its place.
//
// # Usage
//
//	var tracker pace.Tracker // one for each incarnation of a server
//	tracker.Record(now, pace.NewReading(1.6))
//	estimate := tracker.Estimate(now)
//	firstByte := time.Duration(float64(usualFirstByte) * estimate.Current)
//	wholeAnswer := time.Duration(float64(usualAnswer) * estimate.Level)
//
// A Tracker has no lock and reads no clock: its owner guards it, and the time comes with the
// calls. No method allocates memory.
package pace

import (
	"math"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Reading is how long work takes at a server: 1 as usual, 2 twice as long. 0 is not known.
type Reading float64

// Bounds of a reading. One beyond them can't be true, and counts as not known.
const (
	minReading Reading = 0.01
	maxReading Reading = 100
)

// NewReading returns a reading, or 0 if the ratio is not a possible one.
func NewReading(ratio float64) Reading {
	reading := Reading(ratio)
	if math.IsNaN(ratio) || reading < minReading || reading > maxReading {
		return 0
	}
	return reading
}

// IsKnown returns whether the server has named its pace.
func (r Reading) IsKnown() bool {
	return r > 0
}

// ServerReading is a reading of an incarnation of a server, as hosts pass it on.
type ServerReading struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	Reading     Reading
}

const (
	// maxSamples is the number of readings that the level is the median of, and sampleInterval
	// the least time between two of them. A spell must last for half of them to be taken for
	// the level.
	maxSamples     = 9
	sampleInterval = 500 * time.Millisecond
	// maxSampleGap is the longest time between two samples of a host that reads a server's pace
	// about as often as samples are taken.
	maxSampleGap = 2 * sampleInterval
	// readingLife is the age at which a reading counts for 1/e. A pace changes several times a
	// second.
	readingLife = 300 * time.Millisecond
	// maxReadingAge is the age at which the last reading says nothing about the level either. A
	// server that got no requests for being slow is then tried again.
	maxReadingAge = time.Minute
)

// Tracker estimates the pace of one server. The zero value knows nothing.
type Tracker struct {
	samples     [maxSamples]Reading
	sampleCount int
	nextSample  int
	sampledAt   time.Time
	last        Reading
	lastAt      time.Time
	// median is the median of the samples, shared the level that all hosts have found.
	median Reading
	shared Reading
	// samplesInRow counts the samples without a gap beyond maxSampleGap, samplesSinceShared those
	// since the shared level changed.
	samplesInRow       int
	samplesSinceShared int
}

// Estimate is the pace of a server: its lasting level, and what is expected now. Both are 1
// where nothing is known.
type Estimate struct {
	Level   float64
	Current float64
}

// Record stores a reading that arrived now. One that is not known changes nothing.
func (t *Tracker) Record(now time.Time, reading Reading) {
	if !reading.IsKnown() {
		return
	}
	if now.Sub(t.lastAt) > maxReadingAge {
		t.sampleCount, t.nextSample, t.samplesSinceShared = 0, 0, 0
	}
	t.last, t.lastAt = reading, now
	if t.sampleCount > 0 && now.Sub(t.sampledAt) < sampleInterval {
		return
	}
	if now.Sub(t.sampledAt) > maxSampleGap {
		t.samplesInRow = 0
	}
	t.samplesInRow = min(t.samplesInRow+1, maxSamples)
	t.samplesSinceShared = min(t.samplesSinceShared+1, maxSamples)
	t.samples[t.nextSample] = reading
	t.nextSample = (t.nextSample + 1) % maxSamples
	t.sampleCount = min(t.sampleCount+1, maxSamples)
	t.sampledAt = now
	t.median = median(t.samples, t.sampleCount)
}

// median returns the lower median of the first count samples: spells only make work slower.
func median(samples [maxSamples]Reading, count int) Reading {
	for i := 1; i < count; i++ {
		for j := i; j > 0 && samples[j] < samples[j-1]; j-- {
			samples[j], samples[j-1] = samples[j-1], samples[j]
		}
	}
	return samples[(count-1)/2]
}

// Share stores the level that the readings of all hosts show. It precedes this host's own, of
// which there are fewer, unless those are newer. 0 withdraws it.
func (t *Tracker) Share(level Reading) {
	if level == t.shared {
		return
	}
	t.shared = level
	t.samplesSinceShared = 0
}

// isOwnNewer reports whether the own samples show a later time than the shared level does: all have
// been taken since it came, or they are as frequent as those of all hosts can be, without the way
// of a report.
func (t *Tracker) isOwnNewer(now time.Time) bool {
	return t.samplesSinceShared >= maxSamples || t.samplesInRow >= maxSamples && now.Sub(t.sampledAt) <= maxSampleGap
}

// Last returns the last reading and when it arrived.
func (t *Tracker) Last() (Reading, time.Time) {
	return t.last, t.lastAt
}

// Estimate returns the pace expected now.
func (t *Tracker) Estimate(now time.Time) Estimate {
	age := max(now.Sub(t.lastAt), 0)
	isRecent := t.last.IsKnown() && age <= maxReadingAge
	level := 1.0
	switch {
	case t.shared.IsKnown() && (!isRecent || !t.isOwnNewer(now)):
		level = float64(t.shared)
	case isRecent:
		level = float64(t.median)
	}
	estimate := Estimate{
		Level:   level,
		Current: level,
	}
	if isRecent {
		weight := math.Exp(-float64(age) / float64(readingLife))
		estimate.Current += (float64(t.last) - level) * weight
	}
	return estimate
}

// IsKnown returns whether the estimate rests on a reading.
func (t *Tracker) IsKnown(now time.Time) bool {
	return t.shared.IsKnown() || t.last.IsKnown() && now.Sub(t.lastAt) <= maxReadingAge
}
