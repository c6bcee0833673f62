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

// wired sends a message through its bytes, as the network does.
func wired[M proto.Message](t require.TestingT, message, empty M) M {
	bytes, err := proto.Marshal(message)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(bytes, empty))
	return empty
}

func text[S ~string](t *rapid.T, label string) S {
	return S(rapid.StringMatching("[a-z0-9-]{0,12}").Draw(t, label))
}

func instants(t *rapid.T, label string) time.Time {
	nanos := rapid.Int64Range(0, 1<<61).Draw(t, label)
	return instant(nanos)
}

func bytesOf(t *rapid.T, label string) []byte {
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
		Host:       text[ident.HostID](t, "host"),
		DataCentre: text[ident.DataCentre](t, "dc"),
		Region:     text[ident.Region](t, "region"),
		Address:    text[string](t, "address"),
		Beat:       rapid.Uint64().Draw(t, "beat"),
		Stopping:   rapid.Bool().Draw(t, "stopping"),
		Documents:  ident.Revision(rapid.Int64Min(0).Draw(t, "documents")),
		Leads:      ident.FencingNumber(rapid.Int64Min(0).Draw(t, "leads")),
	}
}

func anyLife(t *rapid.T) suspects.Life {
	return suspects.Life{
		Server:      text[ident.ServerName](t, "server"),
		Incarnation: text[ident.Incarnation](t, "incarnation"),
	}
}

func anySuspect(t *rapid.T) suspects.Suspect {
	return suspects.Suspect{
		Fingerprint: ident.Fingerprint(rapid.Uint64().Draw(t, "fingerprint")),
		Deaths:      listOf(t, "deaths", anyLife),
		KeepUntil:   instants(t, "keep"),
	}
}

func anyDocument(t *rapid.T) documents.PeerDocument {
	return documents.PeerDocument{
		Team:     text[ident.TeamName](t, "team"),
		Revision: ident.Revision(rapid.Int64Min(0).Draw(t, "revision")),
		Value:    bytesOf(t, "value"),
	}
}

func anyLeaving(t *rapid.T) routing.ServerLeaving {
	return routing.ServerLeaving{
		Server:      text[ident.ServerName](t, "server"),
		Incarnation: text[ident.Incarnation](t, "incarnation"),
	}
}

func anyMarks(t *rapid.T) Marks {
	return Marks{
		Epoch:   rapid.Uint64().Draw(t, "epoch"),
		Peers:   rapid.Uint64().Draw(t, "peers"),
		Reports: rapid.Uint64().Draw(t, "reports"),
	}
}

func anyMilli(t *rapid.T) time.Time {
	return time.UnixMilli(rapid.Int64Range(1, 1<<42).Draw(t, "at"))
}

func anyReportLoad(t *rapid.T) reports.Load {
	return reports.Load{
		Server:  rapid.Uint32().Draw(t, "server"),
		Digest:  rapid.Uint32().Draw(t, "digest"),
		At:      anyMilli(t),
		Running: rapid.IntRange(0, 1<<20).Draw(t, "running"),
		Waiting: rapid.IntRange(0, 1<<20).Draw(t, "waiting"),
	}
}

func anyHolding(t *rapid.T) reports.Holding {
	return reports.Holding{
		Digest: rapid.Uint32().Draw(t, "digest"),
		Report: backend.Report{
			Server:      text[ident.ServerName](t, "server"),
			Incarnation: text[ident.Incarnation](t, "incarnation"),
			At:          anyMilli(t),
			Memory:      unit.Bytes(rapid.Int64Min(0).Draw(t, "memory")),
			Running:     rapid.IntRange(0, 1<<20).Draw(t, "running"),
			Waiting:     rapid.IntRange(0, 1<<20).Draw(t, "waiting"),
			Slots:       rapid.IntRange(0, 1<<20).Draw(t, "slots"),
			Leaving:     rapid.Bool().Draw(t, "leaving"),
			Residents: listOf(t, "residents", func(t *rapid.T) backend.Resident {
				return backend.Resident{
					Model:   text[ident.ModelName](t, "model"),
					Adapter: text[ident.AdapterName](t, "adapter"),
					Version: text[ident.Version](t, "version"),
					Memory:  unit.Bytes(rapid.Int64Min(0).Draw(t, "memory")),
					Ready:   rapid.Bool().Draw(t, "ready"),
				}
			}),
		},
	}
}

func anyKnowledge(t *rapid.T) Knowledge {
	loads := rapid.MapOf(rapid.StringMatching("[a-z0-9]{1,8}"), rapid.Int64Range(1, 1<<20)).Draw(t, "loads")
	knowledge := Knowledge{
		Peers: append([]membership.Peer{anyPeer(t)}, listOf(t, "peers", anyPeer)...),
		Beats: listOf(t, "beats", func(t *rapid.T) membership.Beat {
			return membership.Beat{
				Host:      rapid.Uint32().Draw(t, "host"),
				Beat:      rapid.Uint64().Draw(t, "beat"),
				Documents: ident.Revision(rapid.Int64Min(0).Draw(t, "documents")),
			}
		}),
		WantsReports: rapid.Bool().Draw(t, "wants"),
		AllReports:   rapid.Bool().Draw(t, "all"),
		More:         rapid.Bool().Draw(t, "more"),
		Reports: reports.Word{
			Loads:    listOf(t, "reports", anyReportLoad),
			Holdings: listOf(t, "holdings", anyHolding),
		},
		Told: anyMarks(t),
		From: anyMarks(t),
		Have: anyMarks(t),
		Documents: documents.Word{
			Since:     ident.Revision(rapid.Int64Min(0).Draw(t, "since")),
			Complete:  ident.Revision(rapid.Int64Min(0).Draw(t, "complete")),
			Documents: listOf(t, "documents", anyDocument),
		},
		Loads:    make(map[ident.ServerName]int64),
		Suspects: listOf(t, "suspects", anySuspect),
		Leaving:  listOf(t, "leaving", anyLeaving),
	}
	for server, load := range loads {
		knowledge.Loads[ident.ServerName(server)] = load
	}
	return knowledge
}

func TestKnowledgeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		knowledge := anyKnowledge(t)
		require.Equal(t, knowledge, decodeKnowledge(wired(t, encodeKnowledge(knowledge), &entryhostpb.Knowledge{})))
	})
}

// A host finishes a claimed request whose answer is too long to be kept and
// tells the home. Were the wire to lose Cut and Digest, the home would keep an
// empty body as the whole answer, and a repeat would get it.
func TestClaimsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := claims.Claim{
			Team:        text[ident.TeamName](t, "team"),
			Key:         text[ident.IdempotencyKey](t, "key"),
			Attempt:     text[ident.AttemptID](t, "attempt"),
			Fingerprint: ident.Fingerprint(rapid.Uint64().Draw(t, "fingerprint")),
			Deadline:    instants(t, "deadline"),
			KeepUntil:   instants(t, "keep"),
			Origin:      text[ident.HostID](t, "origin"),
		}
		require.Equal(t, claim, decodeClaim(wired(t, encodeClaim(claim), &entryhostpb.ClaimRequest{})))

		answer := claims.Answer{
			Team:        claim.Team,
			Key:         claim.Key,
			Attempt:     claim.Attempt,
			Origin:      claim.Origin,
			Verdict:     rapid.SampledFrom([]claims.Verdict{claims.Unknown, claims.Granted, claims.ClaimedByOther, claims.Finished, claims.Refused, claims.KeyReused}).Draw(t, "verdict"),
			Proof:       rapid.SampledFrom([]claims.Proof{claims.ProofNone, claims.ProofAttempt, claims.ProofKey}).Draw(t, "proof"),
			Status:      rapid.IntRange(0, 599).Draw(t, "status"),
			ContentType: text[string](t, "type"),
			Whole:       rapid.Bool().Draw(t, "whole"),
			Body:        bytesOf(t, "body"),
			Digest:      rapid.Uint64().Draw(t, "digest"),
			RetryAt:     instants(t, "retry"),
			Reason:      text[string](t, "reason"),
		}
		require.Equal(t, answer, decodeAnswer(claim, wired(t, encodeAnswer(answer), &entryhostpb.ClaimResponse{})))

		finish := claims.Finish{
			Team:        claim.Team,
			Key:         claim.Key,
			Attempt:     claim.Attempt,
			Status:      answer.Status,
			Body:        answer.Body,
			ContentType: answer.ContentType,
			Cut:         rapid.Bool().Draw(t, "cut"),
			Digest:      answer.Digest,
			Origin:      claim.Origin,
		}
		require.Equal(t, finish, decodeFinish(wired(t, encodeFinish(finish), &entryhostpb.FinishRequest{})))
	})
}

// A home of a later version answers with a verdict that this one doesn't know.
// Read as a grant, it would let a forbidden request run a second time.
func TestAVerdictOfALaterVersionForbids(t *testing.T) {
	answer := decodeAnswer(claims.Claim{}, &entryhostpb.ClaimResponse{
		Verdict: 99,
		Proof:   99,
	})
	require.Equal(t, claims.Unknown, answer.Verdict)
	require.Equal(t, claims.ProofNone, answer.Proof)
}

func TestCountsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := Counts{
			Host: text[ident.HostID](t, "host"),
			Rows: listOf(t, "rows", func(t *rapid.T) burn.Row {
				return burn.Row{
					Key: burn.Key{
						Team:  text[ident.TeamName](t, "team"),
						Class: text[ident.ClassName](t, "class"),
						Model: text[ident.ModelName](t, "model"),
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
		require.Equal(t, counts, decodeCounts(wired(t, encodeCounts(counts), &entryhostpb.BurnResponse{})))
	})
}
