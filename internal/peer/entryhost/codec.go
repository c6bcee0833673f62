package entryhost

import (
	"time"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/entryhostpb"
)

// unixNano returns Unix nanoseconds; the zero time is 0.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeFromUnixNano is the inverse of unixNano.
func timeFromUnixNano(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

func encodeMessage(message Message) *entryhostpb.Knowledge {
	wire := &entryhostpb.Knowledge{
		Since:    int64(message.Documents.Since),
		Complete: int64(message.Documents.CompleteRevision),
		Told:     encodeCursors(message.SentThrough),
		From:     encodeCursors(message.SentAfter),
		Have:     encodeCursors(message.ReceivedThrough),

		WantsReports: message.WantsReports,
		AllReports:   message.WantsAllRegions,
		More:         message.HasMore,
	}
	encodeHeartbeats(wire, &message)
	encodeReports(wire, &message.Reports)
	for i := range message.Peers {
		wire.Peers = append(wire.Peers, encodePeer(&message.Peers[i]))
	}
	for _, document := range message.Documents.Documents {
		wire.Documents = append(wire.Documents, &entryhostpb.Document{
			Team:     string(document.Team),
			Revision: int64(document.Revision),
			Value:    document.Value,
		})
	}
	for server, load := range message.ServerLoads {
		wire.Loads = append(wire.Loads, &entryhostpb.Load{
			Server:  string(server),
			Running: int32(load),
		})
	}
	for i := range message.Suspects {
		wire.Suspects = append(wire.Suspects, encodeSuspect(&message.Suspects[i]))
	}
	for _, leaving := range message.LeavingServers {
		wire.Leaving = append(wire.Leaving, &entryhostpb.Leaving{
			Server:      string(leaving.Server),
			Incarnation: string(leaving.Incarnation),
		})
	}
	return wire
}

func decodeMessage(wire *entryhostpb.Knowledge) Message {
	message := Message{
		Documents: documents.Message{
			Since:            ident.Revision(wire.GetSince()),
			CompleteRevision: ident.Revision(wire.GetComplete()),
		},
		ServerLoads:     make(map[ident.ServerName]int64, len(wire.GetLoads())),
		SentThrough:     decodeCursors(wire.GetTold()),
		SentAfter:       decodeCursors(wire.GetFrom()),
		ReceivedThrough: decodeCursors(wire.GetHave()),

		WantsReports:    wire.GetWantsReports(),
		WantsAllRegions: wire.GetAllReports(),
		HasMore:         wire.GetMore(),
		Reports:         decodeReports(wire),
	}
	for _, peer := range wire.GetPeers() {
		message.Peers = append(message.Peers, decodePeer(peer))
	}
	message.Heartbeats = decodeHeartbeats(wire, message.Sender())
	for _, document := range wire.GetDocuments() {
		message.Documents.Documents = append(message.Documents.Documents, documents.PeerDocument{
			Team:     ident.TeamName(document.GetTeam()),
			Revision: ident.Revision(document.GetRevision()),
			Value:    document.GetValue(),
		})
	}
	for _, load := range wire.GetLoads() {
		message.ServerLoads[ident.ServerName(load.GetServer())] = int64(load.GetRunning())
	}
	for _, suspect := range wire.GetSuspects() {
		message.Suspects = append(message.Suspects, decodeSuspect(suspect))
	}
	for _, leaving := range wire.GetLeaving() {
		message.LeavingServers = append(message.LeavingServers, routing.ServerLeaving{
			Server:      ident.ServerName(leaving.GetServer()),
			Incarnation: ident.Incarnation(leaving.GetIncarnation()),
		})
	}
	return message
}

func encodeCursors(cursors Cursors) *entryhostpb.Marks {
	return &entryhostpb.Marks{
		Epoch:   cursors.Epoch,
		Peers:   cursors.Peers,
		Reports: cursors.Reports,
	}
}

func decodeCursors(wire *entryhostpb.Marks) Cursors {
	return Cursors{
		Epoch:   wire.GetEpoch(),
		Peers:   wire.GetPeers(),
		Reports: wire.GetReports(),
	}
}

// encodeHeartbeats encodes heartbeats as distances from the sender's own: most are a
// few seconds behind, and take two or three bytes as varints.
func encodeHeartbeats(wire *entryhostpb.Knowledge, message *Message) {
	sender := message.Sender()
	for _, heartbeat := range message.Heartbeats {
		wire.BeatHosts = append(wire.BeatHosts, heartbeat.Host)
		wire.BeatBehind = append(wire.BeatBehind, int64(sender.Heartbeat-heartbeat.Heartbeat))
		wire.BeatDocumentsBehind = append(wire.BeatDocumentsBehind, int64(sender.DocumentsRevision-heartbeat.DocumentsRevision))
	}
}

func decodeHeartbeats(wire *entryhostpb.Knowledge, sender membership.Peer) []membership.Heartbeat {
	count := min(len(wire.GetBeatHosts()), len(wire.GetBeatBehind()), len(wire.GetBeatDocumentsBehind()))
	var heartbeats []membership.Heartbeat
	for i := range count {
		heartbeats = append(heartbeats, membership.Heartbeat{
			Host:              wire.GetBeatHosts()[i],
			Heartbeat:         sender.Heartbeat - uint64(wire.GetBeatBehind()[i]),
			DocumentsRevision: sender.DocumentsRevision - ident.Revision(wire.GetBeatDocumentsBehind()[i]),
		})
	}
	return heartbeats
}

func encodePeer(peer *membership.Peer) *entryhostpb.Peer {
	return &entryhostpb.Peer{
		Host:              string(peer.Host),
		DataCentre:        string(peer.DataCentre),
		Region:            string(peer.Region),
		PeerAddress:       peer.Address,
		Beat:              peer.Heartbeat,
		Stopping:          peer.Stopping,
		DocumentsRevision: int64(peer.DocumentsRevision),
		Leads:             int64(peer.LeaderFencing),
	}
}

func decodePeer(wire *entryhostpb.Peer) membership.Peer {
	return membership.Peer{
		Host:              ident.HostID(wire.GetHost()),
		DataCentre:        ident.DataCentre(wire.GetDataCentre()),
		Region:            ident.Region(wire.GetRegion()),
		Address:           wire.GetPeerAddress(),
		Heartbeat:         wire.GetBeat(),
		Stopping:          wire.GetStopping(),
		DocumentsRevision: ident.Revision(wire.GetDocumentsRevision()),
		LeaderFencing:     ident.FencingNumber(wire.GetLeads()),
	}
}

func encodeSuspect(suspect *suspects.Suspect) *entryhostpb.Suspect {
	wire := &entryhostpb.Suspect{
		Fingerprint:       uint64(suspect.Fingerprint),
		KeepUntilUnixNano: unixNano(suspect.KeepUntil),
	}
	for _, crash := range suspect.Crashes {
		wire.Deaths = append(wire.Deaths, &entryhostpb.Life{
			Server:      string(crash.Server),
			Incarnation: string(crash.Incarnation),
		})
	}
	return wire
}

func decodeSuspect(wire *entryhostpb.Suspect) suspects.Suspect {
	suspect := suspects.Suspect{
		Fingerprint: ident.Fingerprint(wire.GetFingerprint()),
		KeepUntil:   timeFromUnixNano(wire.GetKeepUntilUnixNano()),
	}
	for _, crash := range wire.GetDeaths() {
		suspect.Crashes = append(suspect.Crashes, suspects.ServerIncarnation{
			Server:      ident.ServerName(crash.GetServer()),
			Incarnation: ident.Incarnation(crash.GetIncarnation()),
		})
	}
	return suspect
}

func encodeDemand(rates demand.HostRates) *entryhostpb.DemandRequest {
	wire := &entryhostpb.DemandRequest{
		Host:       string(rates.Host),
		DataCentre: string(rates.DataCentre),
	}
	for _, rate := range rates.Rates {
		wire.Models = append(wire.Models, string(rate.Model))
		wire.PerSecond = append(wire.PerSecond, float32(rate.PerSecond))
	}
	return wire
}

func decodeDemand(wire *entryhostpb.DemandRequest) demand.HostRates {
	rates := demand.HostRates{
		Host:       ident.HostID(wire.GetHost()),
		DataCentre: ident.DataCentre(wire.GetDataCentre()),
	}
	for i := range min(len(wire.GetModels()), len(wire.GetPerSecond())) {
		rates.Rates = append(rates.Rates, demand.Rate{
			Model:     ident.ModelName(wire.GetModels()[i]),
			PerSecond: float64(wire.GetPerSecond()[i]),
		})
	}
	return rates
}

func encodeCounts(counts BurnCounts) *entryhostpb.BurnResponse {
	wire := &entryhostpb.BurnResponse{
		Host: string(counts.Host),
	}
	for i := range counts.Rows {
		row := &counts.Rows[i]
		wire.Rows = append(wire.Rows, &entryhostpb.BurnRow{
			Team:           string(row.Team),
			Class:          string(row.Class),
			Model:          string(row.Model),
			StartUnix:      row.Start.Unix(),
			AnsweredInTime: row.Counts[burn.InTime],
			AnsweredLate:   row.Counts[burn.Late],
			Refused:        row.Counts[burn.Refused],
			Failed:         row.Counts[burn.Failed],
		})
	}
	return wire
}

func decodeCounts(wire *entryhostpb.BurnResponse) BurnCounts {
	counts := BurnCounts{
		Host: ident.HostID(wire.GetHost()),
	}
	for _, row := range wire.GetRows() {
		counts.Rows = append(counts.Rows, burn.Row{
			Key: burn.Key{
				Team:  ident.TeamName(row.GetTeam()),
				Class: ident.ClassName(row.GetClass()),
				Model: ident.ModelName(row.GetModel()),
			},
			Start: time.Unix(row.GetStartUnix(), 0).UTC(),
			Counts: burn.Counts{
				burn.InTime:  row.GetAnsweredInTime(),
				burn.Late:    row.GetAnsweredLate(),
				burn.Refused: row.GetRefused(),
				burn.Failed:  row.GetFailed(),
			},
		})
	}
	return counts
}
