package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

// In a large fleet a few hosts of each data centre, its readers, follow the key-value
// service, and tell the others there of what they learn. They also pass on what those
// are asked for to the holder, and the holder's word to them. If each host did all of
// this, calls to the service would grow with hosts times changes, and the holder's link
// and processor would be full of words to hosts.
//
// A host that hears from no reader that is up to date follows the service itself: so
// nothing depends on who is taken for a reader.
const (
	// readersPerDataCentre is how many hosts of a data centre follow the service, where
	// its region has more than manyHosts.
	readersPerDataCentre = 2
	manyHosts            = 10
	// readerTrust is how old a reader's view of the service may be to stand in for it: a
	// round of its watch, the pause after it and some. It is a part of the 4 s in which a
	// change must be known.
	readerTrust = 2800 * time.Millisecond
	// needPoll is how often a host looks whether it has to follow the service itself.
	needPoll = 100 * time.Millisecond
	// silentReader is for how long a reader that didn't answer, or had nothing new itself,
	// isn't asked; silentAtStart by a host that knows nothing yet: a reader may begin at
	// the same time, and be there in a moment.
	silentReader  = 1500 * time.Millisecond
	silentAtStart = 100 * time.Millisecond
)

// readers is whom a host asks in place of the key-value service. Its zero value is for
// hosts that follow the service themselves.
type readers struct {
	// near are those of the host's own data centre, far the others of its region.
	near []string
	far  []string
	// few tells that few hosts follow the service, whether this is one of them or not.
	few bool
}

func (r *readers) none() bool {
	return len(r.near) == 0
}

func (r *readers) addresses() []string {
	return slices.Concat(r.near, r.far)
}

// readers gives whom this host asks.
func (c *control) readers(reachable []pacing.Host) readers {
	own := &c.options.Settings.Host
	there := pacing.InRegion(reachable, own.Region)
	if len(there) <= manyHosts {
		return readers{}
	}
	found := readers{
		few: true,
	}
	for _, dataCentre := range dataCentres(there) {
		for _, reader := range dataCentreReaders(there, dataCentre) {
			switch {
			case reader.Name == own.Name:
				return readers{
					few: true,
				}
			case dataCentre == own.DataCentre:
				found.near = append(found.near, reader.Address)
			default:
				found.far = append(found.far, reader.Address)
			}
		}
	}
	return found
}

func dataCentreReaders(hosts []pacing.Host, dataCentre ident.DataCentre) []pacing.Host {
	return pacing.FirstStrong(pacing.InDataCentre(hosts, dataCentre), "reader", readersPerDataCentre)
}

// withoutReaders gives the hosts that may pace prompts. Readers, one of whom is the holder,
// have enough to do in a large region: prompts whose pacer answers late go to engines that
// are full.
func withoutReaders(reachable []pacing.Host) []pacing.Host {
	reads := make(map[ident.HostID]bool)
	for _, there := range pacing.ByRegion(reachable) {
		if len(there) <= manyHosts {
			continue
		}
		for _, dataCentre := range dataCentres(there) {
			for _, reader := range dataCentreReaders(there, dataCentre) {
				reads[reader.Name] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(reachable), func(h pacing.Host) bool { return reads[h.Name] })
}

// dataCentres gives where some hosts stand, each once, sorted.
func dataCentres(hosts []pacing.Host) []ident.DataCentre {
	var all []ident.DataCentre
	for i := range hosts {
		all = append(all, hosts[i].DataCentre)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// askers counts the hosts that exchange words with the holder itself.
func askers(reachable []pacing.Host) int {
	count := 0
	for _, there := range pacing.ByRegion(reachable) {
		if len(there) <= manyHosts {
			count += len(there)
			continue
		}
		count += readersPerDataCentre * len(dataCentres(there))
	}
	return count
}

// readerChoice remembers which readers did not answer. It belongs to one goroutine.
type readerChoice struct {
	silent map[string]time.Time
}

// pick gives a reader to ask, empty where none has answered lately: one of the host's
// own data centre, or else of its region.
func (r *readerChoice) pick(now time.Time, from *readers) string {
	for _, list := range [][]string{from.near, from.far} {
		answers := slices.DeleteFunc(slices.Clone(list), func(address string) bool { return now.Before(r.silent[address]) })
		if len(answers) > 0 {
			return answers[rand.IntN(len(answers))]
		}
	}
	return ""
}

func (r *readerChoice) fail(address string, until time.Time) {
	if r.silent == nil {
		r.silent = make(map[string]time.Time)
	}
	r.silent[address] = until
}

// hearsReaders tells that a reader's word stands in for the service's.
func (g *Gateway) hearsReaders() bool {
	return !g.following.Load().none() && g.peerHearsStore()
}

// peerHearsStore tells that the service has lately answered a peer that told this host of
// the fleet.
func (g *Gateway) peerHearsStore() bool {
	heard := g.readerHeard.Load()
	return heard > 0 && isRecent(heard)
}

// isRecent tells that a view of the service which was current at an instant of the steady
// clock still goes.
func isRecent(at int64) bool {
	return steadyClock()-at < int64(readerTrust)
}

// ownRead is when the service last answered this host itself, for both prefixes; 0 where
// it has not answered for one of them.
func (g *Gateway) ownRead() int64 {
	return min(g.fleetRead.Load(), g.configurationRead.Load())
}

// readerPatience is for how long a reader is left alone that didn't answer.
func (g *Gateway) readerPatience() time.Duration {
	if g.storeHeard().IsZero() {
		return silentAtStart
	}
	return silentReader
}

// awaitNeed waits for as long as readers tell this host of the service, and at its start
// for their first word.
func (g *Gateway) awaitNeed() {
	g.awaitFirstWord()
	for g.tomb.Alive() && g.hearsReaders() {
		g.sleep(needPoll)
	}
}

// storeHeard is when the service last answered this host, or the reader that it asks;
// zero where neither has happened.
func (g *Gateway) storeHeard() time.Time {
	heard := max(g.ownRead(), g.readerHeard.Load())
	if heard == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(heard))
}

const (
	// firstWord is for how long after a host's start, at most, it waits for the first word
	// of a reader before it asks the service itself, wordPoll how often it looks.
	firstWord = 2 * time.Second
	wordPoll  = 20 * time.Millisecond
	// learnLimit is how long the reading of the hosts may take.
	learnLimit = 700 * time.Millisecond
)

// learnHosts reads the entries of the hosts of its data centre before all else: by them a
// host knows whether there are readers to ask. Where a large fleet begins at once, as after
// a loss of power, the entries of all servers would fill the link to the service's region
// for seconds, and those of all hosts for most of one; readers are near.
func (g *Gateway) learnHosts() {
	ctx, cancel := context.WithTimeout(g.context(), learnLimit)
	defer cancel()
	listing, err := g.options.KeyValue.List(ctx, g.options.Layout.hostsIn(g.options.Settings.Host.DataCentre))
	if err != nil {
		g.log.Info("hosts not learned", zap.Error(err))
		close(g.hostsLearned)
		return
	}
	g.post(hostsListed{
		entries: listing.Entries,
		learned: g.hostsLearned,
	})
}

// awaitFirstWord waits for the first word of a reader, if there are any to ask.
func (g *Gateway) awaitFirstWord() {
	g.sleepUnless(firstWord, g.hostsLearned)
	for g.tomb.Alive() && time.Since(g.started) < firstWord && !g.hearsReaders() && !g.following.Load().none() {
		g.sleep(wordPoll)
	}
}

// noteReader takes in how old a reader's view of the service is, and tells whether it
// stands in for the service's own.
func (g *Gateway) noteReader(storeHeard time.Time) bool {
	if storeHeard.IsZero() {
		return false
	}
	heard := int64(storeHeard.Sub(processStart))
	if heard > g.readerHeard.Load() {
		g.readerHeard.Store(heard)
	}
	return isRecent(heard)
}

// pack compresses a configuration for peers: to a tenth of its length. It is done once
// for all of them.
func pack(text []byte) []byte {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err == nil {
		_, err = writer.Write(text)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil // a buffer takes everything; without it, hosts follow the service
	}
	return packed.Bytes()
}

// maxConfiguration bounds what a peer's packed configuration may grow to: as much as the
// service takes as one value, and some.
const maxConfiguration = 4 << 20

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "packed configuration")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxConfiguration+1))
	if err != nil {
		return nil, errors.Wrap(err, "packed configuration")
	}
	if len(text) > maxConfiguration {
		return nil, errors.Errorf("packed configuration of over %d bytes", maxConfiguration)
	}
	return text, nil
}
