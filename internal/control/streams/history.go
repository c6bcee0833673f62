package streams

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	// maxServedBuilds bounds the builds of one service in a History.
	maxServedBuilds = 16
	// clockTolerance is by how much the clocks of two hosts may differ.
	clockTolerance = 30 * time.Second
)

// History lists the builds that serve or lately served each service. Hosts keep it in the key-value
// service, so that one that has just started knows of builds that it has not seen. A service that
// isn't listed has no history yet.
type History map[ident.ServiceName][]ServedBuild

// ServedBuild is a build in a History.
type ServedBuild struct {
	Build ident.Build
	// LeftAt is when its last server was found to have left, zero if some server runs it.
	LeftAt time.Time
}

// isRecent reports whether streams that the build began may be resumed.
func (b *ServedBuild) isRecent(now time.Time) bool {
	return b.LeftAt.IsZero() || now.Sub(b.LeftAt) < Retention+clockTolerance
}

// Has reports whether a service has a history.
func (h History) Has(service ident.ServiceName) bool {
	return len(h[service]) > 0
}

// Recent returns the builds that may have begun a stream of a service that a client may still
// resume.
func (h History) Recent(now time.Time, service ident.ServiceName) []ident.Build {
	var recent []ident.Build
	for i := range h[service] {
		if h[service][i].isRecent(now) {
			recent = append(recent, h[service][i].Build)
		}
	}
	return recent
}

// Lacks reports whether a service has a history without a build, though it has room for it.
func (h History) Lacks(now time.Time, service ident.ServiceName, build ident.Build) bool {
	return h.Has(service) && len(h[service]) < maxServedBuilds && !slices.Contains(h.Recent(now, service), build)
}

// Update returns the history after some builds were found to run, and whether it differs.
func (h History) Update(now time.Time, running map[ident.ServiceName][]ident.Build) (History, bool) {
	updated := make(History, len(running))
	changed := false
	update := func(service ident.ServiceName) {
		served, differs := updateServed(now, h[service], running[service])
		changed = changed || differs
		if len(served) > 0 {
			updated[service] = served
		}
	}
	for service := range running {
		update(service)
	}
	for service := range h {
		if _, runs := running[service]; !runs {
			update(service)
		}
	}
	return updated, changed
}

// updateServed updates the history of one service.
func updateServed(now time.Time, before []ServedBuild, running []ident.Build) ([]ServedBuild, bool) {
	running = slices.Clone(running)
	slices.Sort(running)
	running = running[:min(len(running), maxServedBuilds)]
	changed := false
	var served []ServedBuild
	for _, build := range running {
		known := slices.ContainsFunc(before, func(b ServedBuild) bool { return b.Build == build && b.LeftAt.IsZero() })
		changed = changed || !known
		served = append(served, ServedBuild{
			Build: build,
		})
	}
	for _, build := range before {
		if slices.Contains(running, build.Build) || !build.isRecent(now) || len(served) == maxServedBuilds {
			continue
		}
		if build.LeftAt.IsZero() {
			changed = true
			build.LeftAt = now
		}
		served = append(served, build)
	}
	return served, changed
}
