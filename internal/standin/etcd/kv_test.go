package etcd

import (
	"maps"
	"strings"
	"testing"

	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"pgregory.net/rapid"
)

func putOp(key, value string) *pb.RequestOp {
	return &pb.RequestOp{
		Request: &pb.RequestOp_RequestPut{
			RequestPut: &pb.PutRequest{
				Key:   []byte(key),
				Value: []byte(value),
			},
		},
	}
}

func deleteOp(key string) *pb.RequestOp {
	return &pb.RequestOp{
		Request: &pb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &pb.DeleteRangeRequest{
				Key: []byte(key),
			},
		},
	}
}

func TestRevisionsAndVersions(t *testing.T) {
	_, connection := startServer(t, Options{})
	first := put(t, connection, "a", "1", 0)
	second := put(t, connection, "a", "2", 0)
	require.Equal(t, first.Header.Revision+1, second.Header.Revision)
	require.Equal(t, "1", string(second.PrevKv.Value))
	found, err := read(connection, "a")
	require.NoError(t, err)
	require.Equal(t, first.Header.Revision, found.Kvs[0].CreateRevision)
	require.Equal(t, second.Header.Revision, found.Kvs[0].ModRevision)
	require.EqualValues(t, 2, found.Kvs[0].Version)

	deleted, err := pb.NewKVClient(connection).DeleteRange(t.Context(), &pb.DeleteRangeRequest{
		Key: []byte("a"),
	})
	require.NoError(t, err)
	require.EqualValues(t, 1, deleted.Deleted)
	third := put(t, connection, "a", "3", 0)
	found, err = read(connection, "a")
	require.NoError(t, err)
	require.Equal(t, third.Header.Revision, found.Kvs[0].CreateRevision)
	require.EqualValues(t, 1, found.Kvs[0].Version)
}

func TestRangeLimitCountAndKeys(t *testing.T) {
	_, connection := startServer(t, Options{})
	for _, key := range []string{"p/b", "q", "p/a", "p/c"} {
		put(t, connection, key, "value", 0)
	}
	found, err := pb.NewKVClient(connection).Range(t.Context(), &pb.RangeRequest{
		Key:      []byte("p/"),
		RangeEnd: []byte("p0"),
		Limit:    2,
		KeysOnly: true,
	})
	require.NoError(t, err)
	require.Len(t, found.Kvs, 2)
	require.Equal(t, "p/a", string(found.Kvs[0].Key))
	require.Empty(t, found.Kvs[0].Value)
	require.True(t, found.More)
	require.EqualValues(t, 3, found.Count)
}

func TestRejectedTxnHasNoEffect(t *testing.T) {
	server, connection := startServer(t, Options{})
	client := pb.NewKVClient(connection)
	many := make([]*pb.RequestOp, maxTxnOps+1)
	for i := range many {
		many[i] = deleteOp("x")
	}
	leased := putOp("a", "1")
	leased.GetRequestPut().Lease = 77
	requireRejected := func(code codes.Code, operations ...*pb.RequestOp) {
		_, err := client.Txn(t.Context(), &pb.TxnRequest{
			Success: operations,
		})
		require.Equal(t, code, status.Code(err), "%v", err)
	}
	requireRejected(codes.InvalidArgument, putOp("a", "1"), putOp("a", "2"))
	requireRejected(codes.InvalidArgument, putOp("a", "1"), deleteOp("a"))
	requireRejected(codes.InvalidArgument, many...)
	requireRejected(codes.InvalidArgument, putOp("b", "1"), putOp("", "1"))
	requireRejected(codes.InvalidArgument, putOp("b", "1"), putOp("a", strings.Repeat("x", 1_000_001)))
	requireRejected(codes.NotFound, putOp("b", "1"), leased)
	found, err := read(connection, "b")
	require.NoError(t, err)
	require.Empty(t, found.Kvs)
	require.EqualValues(t, 1, found.Header.Revision)
	require.EqualValues(t, 6, server.Stats().Txns)
	put(t, connection, "page", strings.Repeat("x", 1_000_000), 0)
}

func TestCompareResults(t *testing.T) {
	s := newState(DefaultHistoryEvents, DefaultValueLimit)
	_, err := s.txn(&pb.TxnRequest{
		Success: []*pb.RequestOp{putOp("a", "m")},
	})
	require.NoError(t, err)
	evaluate := func(key string, compare *pb.Compare) bool {
		compare.Key = []byte(key)
		evaluate, err := s.evaluateCompare(compare)
		require.NoError(t, err)
		return evaluate
	}
	version := func(result pb.Compare_CompareResult, operand int64) *pb.Compare {
		return &pb.Compare{
			Result: result,
			TargetUnion: &pb.Compare_Version{
				Version: operand,
			},
		}
	}
	value := func(operand string) *pb.Compare {
		return &pb.Compare{
			Target: pb.Compare_VALUE,
			TargetUnion: &pb.Compare_Value{
				Value: []byte(operand),
			},
		}
	}
	require.True(t, evaluate("a", version(pb.Compare_EQUAL, 1)))
	require.False(t, evaluate("a", version(pb.Compare_GREATER, 1)))
	require.True(t, evaluate("a", version(pb.Compare_LESS, 2)))
	require.True(t, evaluate("b", version(pb.Compare_EQUAL, 0)))
	require.False(t, evaluate("b", version(pb.Compare_NOT_EQUAL, 0)))
	require.True(t, evaluate("a", value("m")))
	require.False(t, evaluate("a", value("n")))
	require.False(t, evaluate("b", value("")))
	mismatched := version(pb.Compare_EQUAL, 1)
	mismatched.Target = pb.Compare_MOD
	_, err = s.evaluateCompare(mismatched)
	require.Error(t, err)
}

// A host lists all keys, then watches from the listing's revision: applying the
// events to the listing must give the current contents, whatever was written,
// deleted and dropped from the history in between.
func TestEventsAfterListingReproduceState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(rapid.IntRange(1, 8).Draw(t, "history"), DefaultValueLimit)
		listings := map[int64]map[string]*mvccpb.KeyValue{}
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			operations := []*pb.RequestOp{putOp(key, rapid.String().Draw(t, "value")), deleteOp("z" + key)}
			if rapid.Bool().Draw(t, "delete") {
				operations = []*pb.RequestOp{deleteOp(key), putOp("z"+key, "")}
			}
			_, err := s.txn(&pb.TxnRequest{
				Success: operations,
			})
			require.NoError(t, err)
			listings[s.revision] = maps.Clone(s.keys)
		}
		for revision, listing := range listings {
			if revision+1 < s.history.compactRevision {
				continue
			}
			for _, event := range s.history.eventsSince(revision+1, newKeyRange([]byte{0}, []byte{0})) {
				delete(listing, string(event.Kv.Key))
				if event.Type == mvccpb.Event_PUT {
					listing[string(event.Kv.Key)] = event.Kv
				}
			}
			require.Equal(t, s.keys, listing)
		}
	})
}
