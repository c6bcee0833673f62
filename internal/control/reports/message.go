package reports

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// Recipient is the host that a message is for.
type Recipient struct {
	Host   ident.HostID
	Region ident.Region
	// AllRegions requests the reports of all regions at sameRegionInterval.
	AllRegions bool
}

// MessageFor returns the message for a recipient that has received all changes up to
// ackedVersion.
func (m *Machine) MessageFor(recipient Recipient, ackedVersion uint64) Message {
	message := Message{
		ThroughVersion: m.version,
	}
	for _, entry := range m.changedEntries(recipient, ackedVersion) {
		withInventory := entry.inventoryVersion > ackedVersion || m.serversByHash[HashServerName(entry.report.Server)] == ""
		if withInventory && len(message.Inventories) == MaxInventoriesPerMessage || len(message.ServerLoads) == MaxLoadsPerMessage {
			message.ThroughVersion = entry.versionToSend(ackedVersion) - 1
			message.HasMore = true
			return message
		}
		if withInventory {
			message.Inventories = append(message.Inventories, entry.inventory())
		} else {
			message.ServerLoads = append(message.ServerLoads, entry.serverLoad())
		}
	}
	return message
}

func (e *reportEntry) serverLoad() ServerLoad {
	return ServerLoad{
		Server:  HashServerName(e.report.Server),
		Digest:  e.digest,
		At:      e.report.ReportedAt,
		Running: e.report.Running,
		Waiting: e.report.Waiting,
	}
}

func (e *reportEntry) inventory() InventoryReport {
	return InventoryReport{
		Report: backend.Report{
			Server:      e.report.Server,
			Incarnation: e.report.Incarnation,
			ReportedAt:  e.report.ReportedAt,
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

func (m *Machine) changedEntries(recipient Recipient, ackedVersion uint64) []*reportEntry {
	var entries []*reportEntry
	for _, state := range m.servers {
		entry := &state.otherRegions
		if recipient.AllRegions || state.region == recipient.Region {
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
