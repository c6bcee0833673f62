package streams

import (
	"slices"

	"cicadaloom/internal/domain/ident"
)

// View is what a host knows about the builds of a service's servers.
type View struct {
	// Builds are those that serve, or whose last server left within Retention.
	Builds []ident.Build
	// HasHistory is whether Builds include those of the service's History.
	HasHistory bool
	// IsConfirmed is whether the History was read after the view was asked for. Any other view may
	// lack a build that has begun streams meanwhile: the host may be cut off, or have been
	// suspended, and not know it yet.
	IsConfirmed bool
}

// Answer is a keeper's answer to the question for a stream's origin.
type Answer struct {
	Known  bool
	Origin Origin
	// Builds are those of the service in the keeper's view.
	Builds []ident.Build
}

// Conclude returns the origin of a stream of a service from a host's own view and the answers of
// the stream's keepers. If none of them knows the stream it began at the only build that has
// served lately, since the origins of other streams are sent to them. The second result is false
// if that doesn't follow: several builds have served, the host doesn't know which ones have, or its
// view is not confirmed and no keeper answers.
func Conclude(service ident.ServiceName, view *View, answers []Answer) (Origin, bool) {
	builds := slices.Clone(view.Builds)
	for i := range answers {
		if answers[i].Known {
			return answers[i].Origin, true
		}
		builds = append(builds, answers[i].Builds...)
	}
	slices.Sort(builds)
	builds = slices.Compact(builds)
	if len(builds) != 1 || !view.HasHistory || !view.IsConfirmed && len(answers) == 0 {
		return Origin{}, false
	}
	return Origin{
		Service: service,
		Build:   builds[0],
	}, true
}
