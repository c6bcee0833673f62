package entryhost

import (
	"time"

	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/wire/entryhostpb"
)

// encodeReports encodes the time of a load as the distance from the newest of them:
// most are a few seconds behind, and take two or three bytes as varints.
func encodeReports(wire *entryhostpb.Knowledge, message *reports.Message) {
	for i := range message.ServerLoads {
		wire.ReportsAtUnixMilli = max(wire.ReportsAtUnixMilli, message.ServerLoads[i].At.UnixMilli())
	}
	for i := range message.ServerLoads {
		load := &message.ServerLoads[i]
		wire.ReportServers = append(wire.ReportServers, load.Server)
		wire.ReportDigests = append(wire.ReportDigests, load.Digest)
		wire.ReportBehind = append(wire.ReportBehind, wire.ReportsAtUnixMilli-load.At.UnixMilli())
		wire.ReportRunning = append(wire.ReportRunning, uint32(load.Running))
		wire.ReportWaiting = append(wire.ReportWaiting, uint32(load.Waiting))
	}
	for i := range message.Inventories {
		wire.Holdings = append(wire.Holdings, encodeInventory(&message.Inventories[i]))
	}
}

func decodeReports(wire *entryhostpb.Knowledge) reports.Message {
	var message reports.Message
	count := min(len(wire.GetReportServers()), len(wire.GetReportDigests()), len(wire.GetReportBehind()),
		len(wire.GetReportRunning()), len(wire.GetReportWaiting()))
	for i := range count {
		message.ServerLoads = append(message.ServerLoads, reports.ServerLoad{
			Server:  wire.GetReportServers()[i],
			Digest:  wire.GetReportDigests()[i],
			At:      time.UnixMilli(wire.GetReportsAtUnixMilli() - wire.GetReportBehind()[i]),
			Running: int(wire.GetReportRunning()[i]),
			Waiting: int(wire.GetReportWaiting()[i]),
		})
	}
	for _, inventory := range wire.GetHoldings() {
		message.Inventories = append(message.Inventories, decodeInventory(inventory))
	}
	return message
}

func encodeInventory(inventory *reports.InventoryReport) *entryhostpb.Holding {
	report := &inventory.Report
	wire := &entryhostpb.Holding{
		Server:      string(report.Server),
		Incarnation: string(report.Incarnation),
		Digest:      inventory.Digest,
		AtUnixMilli: report.ReportedAt.UnixMilli(),
		Memory:      int64(report.Memory),
		Running:     int32(report.Running),
		Waiting:     int32(report.Waiting),
		Slots:       int32(report.Slots),
		Leaving:     report.Leaving,
	}
	for i := range report.Residents {
		resident := &report.Residents[i]
		wire.Residents = append(wire.Residents, &entryhostpb.Resident{
			Model:   string(resident.Model),
			Adapter: string(resident.Adapter),
			Version: string(resident.Version),
			Memory:  int64(resident.Memory),
			Ready:   resident.Ready,
		})
	}
	return wire
}

func decodeInventory(wire *entryhostpb.Holding) reports.InventoryReport {
	inventory := reports.InventoryReport{
		Report: backend.Report{
			Server:      ident.ServerName(wire.GetServer()),
			Incarnation: ident.Incarnation(wire.GetIncarnation()),
			ReportedAt:  time.UnixMilli(wire.GetAtUnixMilli()),
			Memory:      unit.Bytes(wire.GetMemory()),
			Running:     int(wire.GetRunning()),
			Waiting:     int(wire.GetWaiting()),
			Slots:       int(wire.GetSlots()),
			Leaving:     wire.GetLeaving(),
		},
		Digest: wire.GetDigest(),
	}
	for _, resident := range wire.GetResidents() {
		inventory.Report.Residents = append(inventory.Report.Residents, backend.Resident{
			Model:   ident.ModelName(resident.GetModel()),
			Adapter: ident.AdapterName(resident.GetAdapter()),
			Version: ident.Version(resident.GetVersion()),
			Memory:  unit.Bytes(resident.GetMemory()),
			Ready:   resident.GetReady(),
		})
	}
	return inventory
}
