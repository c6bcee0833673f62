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
func encodeReports(wire *entryhostpb.Knowledge, message *reports.Word) {
	for i := range message.Loads {
		wire.ReportsAtUnixMilli = max(wire.ReportsAtUnixMilli, message.Loads[i].At.UnixMilli())
	}
	for i := range message.Loads {
		load := &message.Loads[i]
		wire.ReportServers = append(wire.ReportServers, load.Server)
		wire.ReportDigests = append(wire.ReportDigests, load.Digest)
		wire.ReportBehind = append(wire.ReportBehind, wire.ReportsAtUnixMilli-load.At.UnixMilli())
		wire.ReportRunning = append(wire.ReportRunning, uint32(load.Running))
		wire.ReportWaiting = append(wire.ReportWaiting, uint32(load.Waiting))
	}
	for i := range message.Holdings {
		wire.Holdings = append(wire.Holdings, encodeInventory(&message.Holdings[i]))
	}
}

func decodeReports(wire *entryhostpb.Knowledge) reports.Word {
	var message reports.Word
	count := min(len(wire.GetReportServers()), len(wire.GetReportDigests()), len(wire.GetReportBehind()),
		len(wire.GetReportRunning()), len(wire.GetReportWaiting()))
	for i := range count {
		message.Loads = append(message.Loads, reports.Load{
			Server:  wire.GetReportServers()[i],
			Digest:  wire.GetReportDigests()[i],
			At:      time.UnixMilli(wire.GetReportsAtUnixMilli() - wire.GetReportBehind()[i]),
			Running: int(wire.GetReportRunning()[i]),
			Waiting: int(wire.GetReportWaiting()[i]),
		})
	}
	for _, inventory := range wire.GetHoldings() {
		message.Holdings = append(message.Holdings, decodeInventory(inventory))
	}
	return message
}

func encodeInventory(inventory *reports.Holding) *entryhostpb.Holding {
	report := &inventory.Report
	wire := &entryhostpb.Holding{
		Server:      string(report.Server),
		Incarnation: string(report.Incarnation),
		Digest:      inventory.Digest,
		AtUnixMilli: report.At.UnixMilli(),
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

func decodeInventory(wire *entryhostpb.Holding) reports.Holding {
	inventory := reports.Holding{
		Report: backend.Report{
			Server:      ident.ServerName(wire.GetServer()),
			Incarnation: ident.Incarnation(wire.GetIncarnation()),
			At:          time.UnixMilli(wire.GetAtUnixMilli()),
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
