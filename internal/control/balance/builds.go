package balance

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// buildUse is how many servers run a build. leftAt is when the last of them was found to have
// left; zero while some run it.
type buildUse struct {
	servers int
	leftAt  time.Time
}

// Builds returns the builds that servers run, and those whose last server has left within a
// time, sorted.
func (p *Pool) Builds(now time.Time, retention time.Duration) []ident.Build {
	p.mu.Lock()
	defer p.mu.Unlock()
	builds := make([]ident.Build, 0, len(p.builds))
	for build, use := range p.builds {
		if use.servers == 0 && use.leftAt.IsZero() {
			use.leftAt = now
		}
		if use.servers == 0 && now.Sub(use.leftAt) > retention {
			delete(p.builds, build)
			continue
		}
		builds = append(builds, build)
	}
	slices.Sort(builds)
	return builds
}

// RunningBuilds returns the builds that servers run, sorted.
func (p *Pool) RunningBuilds() []ident.Build {
	p.mu.Lock()
	defer p.mu.Unlock()
	builds := make([]ident.Build, 0, len(p.builds))
	for build, use := range p.builds {
		if use.servers > 0 {
			builds = append(builds, build)
		}
	}
	slices.Sort(builds)
	return builds
}

func (p *Pool) addBuild(build ident.Build) {
	use, known := p.builds[build]
	if !known {
		use = &buildUse{}
		p.builds[build] = use
	}
	use.servers++
	use.leftAt = time.Time{}
}

func (p *Pool) removeBuild(build ident.Build) {
	p.builds[build].servers--
}
