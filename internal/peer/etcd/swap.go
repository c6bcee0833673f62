package etcd

import (
	"context"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/pkg/errors"
)

// Swap applies all puts and deletes in one transaction, or none if a compare fails. The
// transaction is sent once. If a compare fails, the compared keys are read in the same
// transaction and returned in the order of the compares.
//
// The error is store.ErrUnavailable, if nothing was or will be written, or
// store.ErrUnknownOutcome.
func (c *Client) Swap(ctx context.Context, swap store.Swap) (store.SwapResult, error) {
	call, ctx, cancel := c.startCall(ctx, callSwap)
	defer cancel()
	response, err := c.kv.Txn(ctx, newSwapRequest(swap))
	if err != nil {
		return store.SwapResult{}, call.newWriteError(err)
	}
	result := store.SwapResult{
		Swapped:  response.Succeeded,
		Revision: ident.Revision(response.Header.GetRevision()),
	}
	if response.Succeeded {
		return result, nil
	}
	if len(response.Responses) != len(swap.Compares) {
		// A compare failed, so nothing was written, but the current entries are unknown.
		return store.SwapResult{}, call.newReadError(errors.New("response lacks the compared keys"))
	}
	for i, compare := range swap.Compares {
		found := response.Responses[i].GetResponseRange().GetKvs()
		result.Current = append(result.Current, decodeEntryOrAbsent(compare.Key, found))
	}
	return result, nil
}

func newSwapRequest(swap store.Swap) *pb.TxnRequest {
	request := &pb.TxnRequest{}
	for _, compare := range swap.Compares {
		request.Compare = append(request.Compare, newCompare(compare))
		request.Failure = append(request.Failure, newReadOp(compare.Key))
	}
	for _, put := range swap.Puts {
		request.Success = append(request.Success, newPutOp(put))
	}
	for _, key := range swap.Deletes {
		request.Success = append(request.Success, newDeleteOp(key))
	}
	return request
}

func newCompare(compare store.Compare) *pb.Compare {
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

func newReadOp(key string) *pb.RequestOp {
	return &pb.RequestOp{
		Request: &pb.RequestOp_RequestRange{
			RequestRange: &pb.RangeRequest{
				Key: []byte(key),
			},
		},
	}
}

func newPutOp(put store.Put) *pb.RequestOp {
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

func newDeleteOp(key string) *pb.RequestOp {
	return &pb.RequestOp{
		Request: &pb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &pb.DeleteRangeRequest{
				Key: []byte(key),
			},
		},
	}
}
