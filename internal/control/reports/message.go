package reports

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// Reader is the host that a message is for.
type Reader struct {
	Host   ident.HostID
	Region ident.Region
	// All requests the reports of all regions at sameRegionInterval.
	All bool
}

// Word returns the message for a recipient that has received all changes up to
// ackedVersion.
func (m *Machine) Word(recipient Reader, ackedVersion uint64) Word {
	message := Word{
		Through: m.version,
	}
	for _, entry := range m.changedEntries(recipient, ackedVersion) {
		withInventory := entry.inventoryVersion > ackedVersion || m.serversByHash[HashServerName(entry.report.Server)] == ""
		if withInventory && len(message.Holdings) == MaxInventoriesPerMessage || len(message.Loads) == MaxLoadsPerMessage {
			message.Through = entry.versionToSend(ackedVersion) - 1
			message.More = true
			return message
		}
		if withInventory {
			message.Holdings = append(message.Holdings, entry.inventory())
		} else {
			message.Loads = append(message.Loads, entry.serverLoad())
		}
	}
	return message
}

func (e *reportEntry) serverLoad() Load {
	return Load{
		Server:  HashServerName(e.report.Server),
		Digest:  e.digest,
		At:      e.report.At,
		Running: e.report.Running,
		Waiting: e.report.Waiting,
	}
}

func (e *reportEntry) inventory() Holding {
	return Holding{
		Report: backend.Report{
			Server:      e.report.Server,
			Incarnation: e.report.Incarnation,
			At:          e.report.At,
			Memory:      e.report.Memory,
			Residents:   e.report.Residents,
			Running:     e.report.Running,
			Waiting:     e.report.Waiting,
			Slots:       e.report.Slots,
			Leaving:     e.report.Leaving,
		},
		Digest: e.digest,
	}
}

// versionToSend is the version that a message must reach to include this entry. It is
// the inventory's version if the inventory has changed: the load goes on changing, and
// with the load's version a truncated message would leave the inventory out for good.
func (e *reportEntry) versionToSend(ackedVersion uint64) uint64 {
	if e.inventoryVersion > ackedVersion {
		return e.inventoryVersion
	}
	return e.version
}

func (m *Machine) changedEntries(recipient Reader, ackedVersion uint64) []*reportEntry {
	var entries []*reportEntry
	for _, state := range m.servers {
		entry := &state.otherRegions
		if recipient.All || state.region == recipient.Region {
			entry = &state.sameRegion
		}
		if entry.version > ackedVersion && entry.sender != recipient.Host {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b *reportEntry) int {
		return cmp.Compare(a.versionToSend(ackedVersion), b.versionToSend(ackedVersion))
	})
	return entries
}
