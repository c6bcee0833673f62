package backend

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Brittleness is a statement of servers about the refusals that they bear. The zero value says
// nothing.
type Brittleness struct {
	// MaxRefusals is how many refusals a second a server bears from all hosts together, 0 if it is not
	// brittle.
	MaxRefusals unit.Rate
	StatedAt    time.Time
}

// ServiceBrittleness is what the servers of a service have stated last.
type ServiceBrittleness struct {
	Service ident.ServiceName
	Brittleness
}

// transitionTime is how long two statements may differ before the newer one counts: answers overtake
// each other, and the servers of a service don't change at the same moment.
const transitionTime = 2 * time.Second

// Merge returns the statement that counts of two: the newer one, or the one that allows fewer
// refusals if both were made within transitionTime.
func (b Brittleness) Merge(other Brittleness) Brittleness {
	older, newer := b, other
	if older.StatedAt.After(newer.StatedAt) {
		older, newer = newer, older
	}
	if older.isStricterThan(newer) && newer.StatedAt.Sub(older.StatedAt) < transitionTime {
		return older
	}
	return newer
}

func (b Brittleness) isStricterThan(other Brittleness) bool {
	return b.MaxRefusals > 0 && (other.MaxRefusals == 0 || b.MaxRefusals < other.MaxRefusals)
}
