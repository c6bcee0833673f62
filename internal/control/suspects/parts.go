package suspects

import (
	"slices"
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

// fingerprints returns those under which the part's crashes are counted: over all builds, and for
// its build.
func (p Part) fingerprints() [2]ident.Fingerprint {
	id := strconv.FormatUint(p.ID, 16)
	return [2]ident.Fingerprint{
		hashStrings("any build", string(p.Service), id),
		hashStrings("build", string(p.Service), string(p.Build), id),
	}
}

// partSubjects are the subjects of Part.fingerprints.
var partSubjects = [2]Subject{PromptPart, PromptPartAtBuild}

func hashStrings(texts ...string) ident.Fingerprint {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(text) // a digest's writes never fail
		_, _ = digest.Write([]byte{0})
	}
	return ident.Fingerprint(digest.Sum64())
}

// HasParts reports whether there are suspect parts of prompts.
func (v *View) HasParts() bool {
	return v != nil && v.hasParts
}

// IsSuspect reports whether servers have crashed under a part.
func (v *View) IsSuspect(part Part) bool {
	return v.HasParts() && slices.ContainsFunc(part.fingerprintSlice(), func(f ident.Fingerprint) bool { return v.Verdict(f) != Serve })
}

func (p Part) fingerprintSlice() []ident.Fingerprint {
	fingerprints := p.fingerprints()
	return fingerprints[:]
}

// PartsVerdict returns how to handle a request whose prompt has some parts, all at one build, at
// servers of that build. A part that is refused because of other builds is refused at this one
// after its first crash here, so that it does not crash as many servers of each build.
func (v *View) PartsVerdict(parts []Part) Verdict {
	if !v.HasParts() {
		return Serve
	}
	var anywhere, here []ident.Fingerprint
	strictest := Serve
	hasCrashedHere := false
	for _, part := range parts {
		fingerprints := part.fingerprints()
		anywhere = append(anywhere, fingerprints[0])
		here = append(here, fingerprints[1])
		atAnyBuild, atBuild := v.Verdict(fingerprints[0]), v.Verdict(fingerprints[1])
		if atAnyBuild != Serve || atBuild != Serve {
			strictest = ServeAlone
		}
		hasCrashedHere = hasCrashedHere || atAnyBuild == Refuse && atBuild != Serve
	}
	if v.isToBlame(PromptPartAtBuild, here) || hasCrashedHere && v.isToBlame(PromptPart, anywhere) {
		return Refuse
	}
	return strictest
}

// isToBlame reports whether there was a crash under the refused parts of a prompt that no other
// refused part explains. Parts that came with one that crashes servers, as most prompts begin with
// the same few, may be harmless: they are refused together with it only. That ends with
// maxPartCrashes, since two parts may each explain what the other did.
func (v *View) isToBlame(subject Subject, prompt []ident.Fingerprint) bool {
	var own, explained []ServerIncarnation
	for i := range v.refusedParts {
		part := &v.refusedParts[i]
		switch {
		case part.Subject != subject:
		case slices.Contains(prompt, part.Fingerprint) && len(part.Crashes) >= maxPartCrashes:
			return true
		case slices.Contains(prompt, part.Fingerprint):
			own = append(own, part.Crashes...)
		default:
			explained = append(explained, part.Crashes...)
		}
	}
	return slices.ContainsFunc(own, func(crash ServerIncarnation) bool { return !slices.Contains(explained, crash) })
}
