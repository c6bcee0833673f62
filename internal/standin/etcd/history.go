package etcd

import (
	"sort"

	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/wire/mvccpb"

	"google.golang.org/protobuf/proto"
)

// history keeps the newest events, in order of revision, for watches that lag.
type history struct {
	maxEvents       int
	events          []*mvccpb.Event
	size            unit.Bytes
	compactRevision int64 // oldest revision that a watch may start from
}

func (h *history) add(event *mvccpb.Event) {
	h.events = append(h.events, event)
	h.size += eventSize(event)
}

// trim drops the oldest events beyond the limits, in whole revisions: part of a
// revision would show a watcher half of a transaction. The newest revision is
// always kept, so that a waiting watch receives it.
func (h *history) trim() {
	if len(h.events) == 0 {
		return
	}
	newest := h.events[len(h.events)-1].Kv.ModRevision
	for len(h.events) > h.maxEvents || h.size > maxHistoryBytes {
		oldest := h.events[0].Kv.ModRevision
		if oldest == newest {
			return
		}
		for h.events[0].Kv.ModRevision == oldest {
			h.size -= eventSize(h.events[0])
			h.events = h.events[1:]
		}
		h.compactRevision = oldest + 1
	}
}

// eventsSince returns the events of a key range, starting with the given revision.
func (h *history) eventsSince(revision int64, r keyRange) []*mvccpb.Event {
	first := sort.Search(len(h.events), func(i int) bool {
		return h.events[i].Kv.ModRevision >= revision
	})
	var found []*mvccpb.Event
	for _, event := range h.events[first:] {
		if r.contains(string(event.Kv.Key)) {
			found = append(found, event)
		}
	}
	return found
}

func eventSize(event *mvccpb.Event) unit.Bytes {
	return unit.Bytes(proto.Size(event))
}
