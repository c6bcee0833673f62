package etcd

import (
	"context"
	"time"

	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"
)

// kvService implements the KV gRPC service.
type kvService struct {
	pb.UnimplementedKVServer
	server *Server
}

// Range returns a key or a range of keys.
func (k kvService) Range(ctx context.Context, request *pb.RangeRequest) (*pb.RangeResponse, error) {
	var response *pb.RangeResponse
	err := k.server.call(ctx, kindRange, func(s *state, _ time.Time) (effect, error) {
		if err := s.checkRange(request); err != nil {
			return false, err
		}
		response = s.rangeKeys(request)
		response.Header = s.header()
		return false, nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// Put writes one key.
func (k kvService) Put(ctx context.Context, request *pb.PutRequest) (*pb.PutResponse, error) {
	response, err := k.runOperation(ctx, kindPut, &pb.RequestOp{
		Request: &pb.RequestOp_RequestPut{
			RequestPut: request,
		},
	})
	if err != nil {
		return nil, err
	}
	put := response.Responses[0].GetResponsePut()
	put.Header = response.Header
	return put, nil
}

// DeleteRange deletes a key or a range of keys.
func (k kvService) DeleteRange(ctx context.Context, request *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	response, err := k.runOperation(ctx, kindDelete, &pb.RequestOp{
		Request: &pb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: request,
		},
	})
	if err != nil {
		return nil, err
	}
	deleted := response.Responses[0].GetResponseDeleteRange()
	deleted.Header = response.Header
	return deleted, nil
}

// Txn evaluates the compares, then executes one of two lists of operations
// atomically.
func (k kvService) Txn(ctx context.Context, request *pb.TxnRequest) (*pb.TxnResponse, error) {
	if !hasWrite(request.Success) && !hasWrite(request.Failure) {
		return k.txn(ctx, kindReadTxn, request)
	}
	return k.txn(ctx, kindTxn, request)
}

func (k kvService) runOperation(ctx context.Context, kind callKind, operation *pb.RequestOp) (*pb.TxnResponse, error) {
	return k.txn(ctx, kind, &pb.TxnRequest{
		Success: []*pb.RequestOp{operation},
	})
}

func (k kvService) txn(ctx context.Context, kind callKind, request *pb.TxnRequest) (*pb.TxnResponse, error) {
	var response *pb.TxnResponse
	err := k.server.call(ctx, kind, func(s *state, _ time.Time) (effect, error) {
		revision := s.revision
		executed, err := s.txn(request)
		response = executed
		return s.revision != revision, err
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

func (s *state) checkRange(request *pb.RangeRequest) error {
	switch {
	case len(request.Key) == 0:
		return errEmptyKey
	case request.SortOrder == pb.RangeRequest_DESCEND || request.SortTarget != pb.RangeRequest_KEY:
		return errBadSort
	case request.Revision > s.revision:
		return errFutureRevision
	case request.Revision > 0 && request.Revision < s.revision:
		return errCompacted
	}
	return nil
}

func (s *state) rangeKeys(request *pb.RangeRequest) *pb.RangeResponse {
	found := s.findRange(newKeyRange(request.Key, request.RangeEnd))
	response := &pb.RangeResponse{
		Count: int64(len(found)),
	}
	if request.CountOnly {
		return response
	}
	if request.Limit > 0 && int64(len(found)) > request.Limit {
		found = found[:request.Limit]
		response.More = true
	}
	for _, kv := range found {
		if request.KeysOnly {
			kv = withoutValue(kv)
		}
		response.Kvs = append(response.Kvs, kv)
	}
	return response
}

func withoutValue(kv *mvccpb.KeyValue) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{
		Key:            kv.Key,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Version:        kv.Version,
		Lease:          kv.Lease,
	}
}
