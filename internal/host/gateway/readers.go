package gateway

import (
	"bytes"
	"compress/gzip"
	"io"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
)

// In a large fleet a few hosts of each region, its readers, follow the configuration in
// the key-value service, and tell the others of their region. A configuration of 1,650
// routes is 0.4 MB. With 36 hosts of a region that each read every one of a quick series
// of them, the link to the service's region (60 Mbit/s for all traffic) was full for
// 15 s, and two thirds of them were up to 8 s behind.
//
// A host that hears from no reader follows the service itself: so nothing depends on
// who is taken for a reader.
const (
	// readersPerRegion is how many hosts of a region follow the service, where there are
	// more than manyHosts.
	readersPerRegion = 3
	manyHosts        = 10
	// askReaders is between two words with some reader. It is a fraction of the 4 s in
	// which a configuration must be in force.
	askReaders = 600 * time.Millisecond
	// readerTrust is for how long a reader's word stands in for the service's.
	readerTrust = 2500 * time.Millisecond
	// needPoll is how often a host looks whether it has to follow the service itself.
	needPoll = 100 * time.Millisecond
)

// readers gives where the readers of this host's region listen, none where it is one of
// them or where every host is.
func (c *control) readers(reachable []pacing.Host) []string {
	own := &c.options.Settings.Host
	there := pacing.InRegion(reachable, own.Region)
	if len(there) <= manyHosts {
		return nil
	}
	var addresses []string
	for _, reader := range pacing.First(there, "reader", readersPerRegion) {
		if reader.Name == own.Name {
			return nil
		}
		addresses = append(addresses, reader.Address)
	}
	return addresses
}

// followReaders asks one of the region's readers after another for its word.
func (g *Gateway) followReaders() error {
	for g.tomb.Alive() {
		g.sleep(askReaders/2 + rand.N(askReaders))
		readers := *g.readerAddresses.Load()
		if len(readers) == 0 {
			continue
		}
		reader := listener{
			address: func(*control) string { return readers[rand.IntN(len(readers))] },
		}
		if err := g.askPeer(reader); err != nil {
			g.log.Debug("no word from reader", zap.Error(err))
			continue
		}
		g.readerHeard.Store(steadyClock())
	}
	return nil
}

// hearsReaders tells that a reader's word stands in for the service's.
func (g *Gateway) hearsReaders() bool {
	heard := g.readerHeard.Load()
	return heard > 0 && len(*g.readerAddresses.Load()) > 0 && steadyClock()-heard < int64(readerTrust)
}

// awaitNeed waits for as long as readers tell this host of the configuration.
func (g *Gateway) awaitNeed() {
	for g.tomb.Alive() && g.hearsReaders() {
		g.sleep(needPoll)
	}
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
