package suspects

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
)

// Part is a part of prompts at one build of a service's software. Servers may crash when they
// begin an answer to any prompt that has the part. What crashes one build may be harmless to
// another.
type Part struct {
	Service ident.ServiceName
	Build   ident.Build
	ID      uint64
}

// fingerprint is the one under which crashes of the part's build are counted.
func (p Part) fingerprint() ident.Fingerprint {
	return hashStrings("build", string(p.Service), string(p.Build), strconv.FormatUint(p.ID, 16))
}

// fingerprintAtAnyBuild is the one under which crashes of all builds are counted together.
func (p Part) fingerprintAtAnyBuild() ident.Fingerprint {
	return hashStrings("any", string(p.Service), strconv.FormatUint(p.ID, 16))
}

func (p Part) fingerprints() [2]ident.Fingerprint {
	return [2]ident.Fingerprint{p.fingerprint(), p.fingerprintAtAnyBuild()}
}

func hashStrings(texts ...string) ident.Fingerprint {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(text) // a digest's writes never fail
		_, _ = digest.Write([]byte{0})
	}
	return ident.Fingerprint(digest.Sum64())
}

// PartVerdict returns how to handle a request whose prompt has a part at servers of its build. A
// part that is refused because of other builds is refused at this one after its first crash
// here, so that it does not crash as many servers of each build.
func (v *View) PartVerdict(part Part) Verdict {
	if v == nil || !v.hasParts {
		return Serve
	}
	here, anywhere := v.Verdict(part.fingerprint()), v.Verdict(part.fingerprintAtAnyBuild())
	switch {
	case here == Refuse || here == ServeAlone && anywhere == Refuse:
		return Refuse
	case here == ServeAlone || anywhere != Serve:
		return ServeAlone
	}
	return Serve
}

// HasParts reports whether there are suspect parts of prompts.
func (v *View) HasParts() bool {
	return v != nil && v.hasParts
}
