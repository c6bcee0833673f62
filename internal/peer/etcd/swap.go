package etcd

import (
	"context"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/pkg/errors"
)

// Swap writes and deletes all at once, or nothing where a compare fails. It is
// one transaction, sent once. Where a compare fails, the compared keys are read
// in the same transaction and returned in the order of the compares.
//
// The error is store.ErrUnavailable, which is proof that nothing was or will be
// written, or store.ErrUnknownOutcome.
func (c *Client) Swap(ctx context.Context, swap store.Swap) (store.SwapResult, error) {
	call, ctx, cancel := c.begin(ctx, callSwap)
	defer cancel()
	response, err := c.kv.Txn(ctx, swapRequest(swap))
	if err != nil {
		return store.SwapResult{}, call.writeFailed(err)
	}
	result := store.SwapResult{
		Swapped:  response.Succeeded,
		Revision: ident.Revision(response.Header.GetRevision()),
	}
	if response.Succeeded {
		return result, nil
	}
	if len(response.Responses) != len(swap.Compares) {
		// The compare failed, so nothing was written, but what is there is unknown.
		return store.SwapResult{}, call.readFailed(errors.New("answer lacks the compared keys"))
	}
	for i, compare := range swap.Compares {
		found := response.Responses[i].GetResponseRange().GetKvs()
		result.Current = append(result.Current, entryOrAbsent(compare.Key, found))
	}
	return result, nil
}

func swapRequest(swap store.Swap) *pb.TxnRequest {
	request := &pb.TxnRequest{}
	for _, compare := range swap.Compares {
		request.Compare = append(request.Compare, compareRevision(compare))
		request.Failure = append(request.Failure, readKey(compare.Key))
	}
	for _, put := range swap.Puts {
		request.Success = append(request.Success, putKey(put))
	}
	for _, key := range swap.Deletes {
		request.Success = append(request.Success, deleteKey(key))
	}
	return request
}

func compareRevision(compare store.Compare) *pb.Compare {
	if compare.Revision == 0 {
		return &pb.Compare{
			Result: pb.Compare_EQUAL,
			Target: pb.Compare_CREATE,
			Key:    []byte(compare.Key),
			TargetUnion: &pb.Compare_CreateRevision{
				CreateRevision: 0,
			},
		}
	}
	return &pb.Compare{
		Result: pb.Compare_EQUAL,
		Target: pb.Compare_MOD,
		Key:    []byte(compare.Key),
		TargetUnion: &pb.Compare_ModRevision{
			ModRevision: int64(compare.Revision),
		},
	}
}

func readKey(key string) *pb.RequestOp {
	return &pb.RequestOp{
		Request: &pb.RequestOp_RequestRange{
			RequestRange: &pb.RangeRequest{
				Key: []byte(key),
			},
		},
	}
}

func putKey(put store.Put) *pb.RequestOp {
	return &pb.RequestOp{
		Request: &pb.RequestOp_RequestPut{
			RequestPut: &pb.PutRequest{
				Key:   []byte(put.Key),
				Value: put.Value,
				Lease: int64(put.Lease),
			},
		},
	}
}

func deleteKey(key string) *pb.RequestOp {
	return &pb.RequestOp{
		Request: &pb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &pb.DeleteRangeRequest{
				Key: []byte(key),
			},
		},
	}
}
