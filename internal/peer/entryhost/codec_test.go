package entryhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/wire/entryhostpb"
)

// throughBytes encodes a message and decodes it into empty, as a send over the network
// does.
func throughBytes[M proto.Message](t require.TestingT, message, empty M) M {
	bytes, err := proto.Marshal(message)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(bytes, empty))
	return empty
}

func anyText[S ~string](t *rapid.T, label string) S {
	return S(rapid.StringMatching("[a-z0-9-]{0,12}").Draw(t, label))
}

func anyTime(t *rapid.T, label string) time.Time {
	nanos := rapid.Int64Range(0, 1<<61).Draw(t, label)
	return timeFromUnixNano(nanos)
}

func anyBytes(t *rapid.T, label string) []byte {
	bytes := rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, label)
	return bytes
}

func listOf[T any](t *rapid.T, label string, one func(*rapid.T) T) []T {
	var list []T
	for range rapid.IntRange(0, 4).Draw(t, label) {
		list = append(list, one(t))
	}
	return list
}

func anyPeer(t *rapid.T) membership.Peer {
	return membership.Peer{
		Host:              anyText[ident.HostID](t, "host"),
		DataCentre:        anyText[ident.DataCentre](t, "dc"),
		Region:            anyText[ident.Region](t, "region"),
		Address:           anyText[string](t, "address"),
		Heartbeat:         rapid.Uint64().Draw(t, "beat"),
		Stopping:          rapid.Bool().Draw(t, "stopping"),
		DocumentsRevision: ident.Revision(rapid.Int64Min(0).Draw(t, "documents")),
		LeaderFencing:     ident.FencingNumber(rapid.Int64Min(0).Draw(t, "leads")),
	}
}

func anyCrash(t *rapid.T) suspects.ServerIncarnation {
	return suspects.ServerIncarnation{
		Server:      anyText[ident.ServerName](t, "server"),
		Incarnation: anyText[ident.Incarnation](t, "incarnation"),
	}
}

func anySuspect(t *rapid.T) suspects.Suspect {
	return suspects.Suspect{
		Fingerprint: ident.Fingerprint(rapid.Uint64().Draw(t, "fingerprint")),
		Crashes:     listOf(t, "deaths", anyCrash),
		KeepUntil:   anyTime(t, "keep"),
	}
}

func anyDocument(t *rapid.T) documents.PeerDocument {
	return documents.PeerDocument{
		Team:     anyText[ident.TeamName](t, "team"),
		Revision: ident.Revision(rapid.Int64Min(0).Draw(t, "revision")),
		Value:    anyBytes(t, "value"),
	}
}

func anyLeaving(t *rapid.T) routing.ServerLeaving {
	return routing.ServerLeaving{
		Server:      anyText[ident.ServerName](t, "server"),
		Incarnation: anyText[ident.Incarnation](t, "incarnation"),
	}
}

func anyCursors(t *rapid.T) Cursors {
	return Cursors{
		Epoch:   rapid.Uint64().Draw(t, "epoch"),
		Peers:   rapid.Uint64().Draw(t, "peers"),
		Reports: rapid.Uint64().Draw(t, "reports"),
	}
}

func anyMillisecond(t *rapid.T) time.Time {
	return time.UnixMilli(rapid.Int64Range(1, 1<<42).Draw(t, "at"))
}

func anyReportLoad(t *rapid.T) reports.ServerLoad {
	return reports.ServerLoad{
		Server:  rapid.Uint32().Draw(t, "server"),
		Digest:  rapid.Uint32().Draw(t, "digest"),
		At:      anyMillisecond(t),
		Running: rapid.IntRange(0, 1<<20).Draw(t, "running"),
		Waiting: rapid.IntRange(0, 1<<20).Draw(t, "waiting"),
	}
}

func anyInventory(t *rapid.T) reports.InventoryReport {
	return reports.InventoryReport{
		Digest: rapid.Uint32().Draw(t, "digest"),
		Report: backend.Report{
			Server:      anyText[ident.ServerName](t, "server"),
			Incarnation: anyText[ident.Incarnation](t, "incarnation"),
			ReportedAt:  anyMillisecond(t),
			Memory:      unit.Bytes(rapid.Int64Min(0).Draw(t, "memory")),
			Running:     rapid.IntRange(0, 1<<20).Draw(t, "running"),
			Waiting:     rapid.IntRange(0, 1<<20).Draw(t, "waiting"),
			Slots:       rapid.IntRange(0, 1<<20).Draw(t, "slots"),
			Leaving:     rapid.Bool().Draw(t, "leaving"),
			Residents: listOf(t, "residents", func(t *rapid.T) backend.Resident {
				return backend.Resident{
					Model:   anyText[ident.ModelName](t, "model"),
					Adapter: anyText[ident.AdapterName](t, "adapter"),
					Version: anyText[ident.Version](t, "version"),
					Memory:  unit.Bytes(rapid.Int64Min(0).Draw(t, "memory")),
					Ready:   rapid.Bool().Draw(t, "ready"),
				}
			}),
		},
	}
}

func anyMessage(t *rapid.T) Message {
	loads := rapid.MapOf(rapid.StringMatching("[a-z0-9]{1,8}"), rapid.Int64Range(1, 1<<20)).Draw(t, "loads")
	message := Message{
		Peers: append([]membership.Peer{anyPeer(t)}, listOf(t, "peers", anyPeer)...),
		Heartbeats: listOf(t, "beats", func(t *rapid.T) membership.Heartbeat {
			return membership.Heartbeat{
				Host:              rapid.Uint32().Draw(t, "host"),
				Heartbeat:         rapid.Uint64().Draw(t, "beat"),
				DocumentsRevision: ident.Revision(rapid.Int64Min(0).Draw(t, "documents")),
			}
		}),
		WantsReports:    rapid.Bool().Draw(t, "wants"),
		WantsAllRegions: rapid.Bool().Draw(t, "all"),
		HasMore:         rapid.Bool().Draw(t, "more"),
		Reports: reports.Message{
			ServerLoads: listOf(t, "reports", anyReportLoad),
			Inventories: listOf(t, "holdings", anyInventory),
		},
		SentThrough:     anyCursors(t),
		SentAfter:       anyCursors(t),
		ReceivedThrough: anyCursors(t),
		Documents: documents.Message{
			Since:            ident.Revision(rapid.Int64Min(0).Draw(t, "since")),
			CompleteRevision: ident.Revision(rapid.Int64Min(0).Draw(t, "complete")),
			Documents:        listOf(t, "documents", anyDocument),
		},
		ServerLoads:    make(map[ident.ServerName]int64),
		Suspects:       listOf(t, "suspects", anySuspect),
		LeavingServers: listOf(t, "leaving", anyLeaving),
	}
	for server, load := range loads {
		message.ServerLoads[ident.ServerName(server)] = load
	}
	return message
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := anyMessage(t)
		require.Equal(t, message, decodeMessage(throughBytes(t, encodeMessage(message), &entryhostpb.Knowledge{})))
	})
}

// A host finishes a claimed request whose answer is too long to be stored and reports
// it to the partition owner. If the encoding lost Cut and Digest, the owner would store
// an empty body as the whole answer, and a repeated request would get it.
func TestClaimsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := claims.Claim{
			Team:        anyText[ident.TeamName](t, "team"),
			Key:         anyText[ident.IdempotencyKey](t, "key"),
			Attempt:     anyText[ident.AttemptID](t, "attempt"),
			Fingerprint: ident.Fingerprint(rapid.Uint64().Draw(t, "fingerprint")),
			Deadline:    anyTime(t, "deadline"),
			KeepUntil:   anyTime(t, "keep"),
			Origin:      anyText[ident.HostID](t, "origin"),
		}
		require.Equal(t, claim, decodeClaim(throughBytes(t, encodeClaim(claim), &entryhostpb.ClaimRequest{})))

		answer := claims.Answer{
			Team:        claim.Team,
			Key:         claim.Key,
			Attempt:     claim.Attempt,
			Origin:      claim.Origin,
			Verdict:     rapid.SampledFrom([]claims.Verdict{claims.Unknown, claims.Granted, claims.ClaimedByOther, claims.Finished, claims.Refused, claims.KeyReused}).Draw(t, "verdict"),
			Proof:       rapid.SampledFrom([]claims.Proof{claims.ProofNone, claims.ProofAttemptNotRun, claims.ProofKeyFree}).Draw(t, "proof"),
			Status:      rapid.IntRange(0, 599).Draw(t, "status"),
			ContentType: anyText[string](t, "type"),
			BodyKept:    rapid.Bool().Draw(t, "whole"),
			Body:        anyBytes(t, "body"),
			Digest:      rapid.Uint64().Draw(t, "digest"),
			RetryAt:     anyTime(t, "retry"),
			Reason:      anyText[string](t, "reason"),
		}
		require.Equal(t, answer, decodeAnswer(claim, throughBytes(t, encodeAnswer(answer), &entryhostpb.ClaimResponse{})))

		finish := claims.Finish{
			Team:        claim.Team,
			Key:         claim.Key,
			Attempt:     claim.Attempt,
			Status:      answer.Status,
			Body:        answer.Body,
			ContentType: answer.ContentType,
			BodyOmitted: rapid.Bool().Draw(t, "cut"),
			Digest:      answer.Digest,
			Origin:      claim.Origin,
		}
		require.Equal(t, finish, decodeFinish(throughBytes(t, encodeFinish(finish), &entryhostpb.FinishRequest{})))
	})
}

// A partition owner of a later version answers with a verdict that this version does
// not know. Decoded as a grant, it would let a forbidden request run a second time.
func TestUnknownVerdictForbidsSending(t *testing.T) {
	answer := decodeAnswer(claims.Claim{}, &entryhostpb.ClaimResponse{
		Verdict: 99,
		Proof:   99,
	})
	require.Equal(t, claims.Unknown, answer.Verdict)
	require.Equal(t, claims.ProofNone, answer.Proof)
}

func TestCountsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := BurnCounts{
			Host: anyText[ident.HostID](t, "host"),
			Rows: listOf(t, "rows", func(t *rapid.T) burn.Row {
				return burn.Row{
					Key: burn.Key{
						Team:  anyText[ident.TeamName](t, "team"),
						Class: anyText[ident.ClassName](t, "class"),
						Model: anyText[ident.ModelName](t, "model"),
					},
					Start: time.Unix(rapid.Int64Range(1, 1<<33).Draw(t, "start"), 0).UTC(),
					Counts: burn.Counts{
						burn.InTime:  rapid.Int64Min(0).Draw(t, "in time"),
						burn.Late:    rapid.Int64Min(0).Draw(t, "late"),
						burn.Refused: rapid.Int64Min(0).Draw(t, "refused"),
						burn.Failed:  rapid.Int64Min(0).Draw(t, "failed"),
					},
				}
			}),
		}
		require.Equal(t, counts, decodeCounts(throughBytes(t, encodeCounts(counts), &entryhostpb.BurnResponse{})))
	})
}
