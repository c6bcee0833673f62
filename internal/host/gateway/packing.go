package gateway

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/gatewaypeer"
)

// Bounds of what a peer sends when decompressed. The service accepts a configuration of 1 MB; a
// fleet's entries take some 300 bytes each.
const (
	maxConfigurationBytes = 4 << 20
	maxFleetBytes         = 32 << 20
)

// packedFleetTTL is how long packed entries are sent to hosts that have none. The changes since
// then go with them.
const packedFleetTTL = 5 * time.Second

// packedFleet has all entries of servers and hosts as they are sent to hosts that have none.
// Where a large fleet starts at once, each watcher sends them to hundreds of hosts within a
// second: they are encoded and compressed once for all.
type packedFleet struct {
	text     []byte
	revision ident.Revision
	packedAt time.Time
}

// packFleet returns the packed entries and their revision; nothing and 0 if there are none.
func (c *control) packFleet(now time.Time) ([]byte, ident.Revision) {
	p := &c.packedFleet
	if len(p.text) > 0 && now.Sub(p.packedAt) < packedFleetTTL && !c.fleetEntries.NeedsAll(p.revision) {
		return p.text, p.revision
	}
	all := c.fleetEntries.All()
	*p = packedFleet{}
	if all.Revision == 0 {
		return nil, 0
	}
	text, err := gatewaypeer.MarshalFleet(&all)
	if err != nil {
		c.log.Error("entries not packed", zap.Error(err))
		return nil, 0
	}
	if text = compress(text); len(text) == 0 {
		return nil, 0
	}
	*p = packedFleet{
		text:     text,
		revision: all.Revision,
		packedAt: now,
	}
	return p.text, p.revision
}

// applyPackedFleet applies a peer's packed entries, and returns false if that fails.
func (c *control) applyPackedFleet(now time.Time, message *gatewaypeer.Message) bool {
	text, err := decompress(message.PackedFleet, maxFleetBytes)
	if err != nil {
		c.log.Warn("entries refused", zap.String("From", string(message.Host)), zap.Error(err))
		return false
	}
	all, err := gatewaypeer.UnmarshalFleet(text)
	if err != nil {
		c.log.Warn("entries refused", zap.String("From", string(message.Host)), zap.Error(err))
		return false
	}
	c.applyEvents(now, c.fleetEntries.ApplyUpdate(all))
	return true
}

// compress packs a text for peers, to a tenth of its length. This is done once for all of them.
func compress(text []byte) []byte {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err == nil {
		_, err = writer.Write(text)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil // writing to a buffer can't fail; if it did, hosts would follow the service
	}
	return packed.Bytes()
}

// decompress unpacks a text of at most so many bytes.
func decompress(packed []byte, limit int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	text, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if int64(len(text)) > limit {
		return nil, errors.Errorf("decompressed text of over %d bytes", limit)
	}
	return text, nil
}
