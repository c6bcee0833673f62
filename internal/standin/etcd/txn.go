package etcd

import (
	"bytes"
	"cmp"

	"cicadaloom/internal/domain/unit"
	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"
)

// maxTxnOps is etcd's bound on each list of a transaction.
const maxTxnOps = 128

// txn executes a transaction or, where it returns an error, nothing of it.
func (s *state) txn(request *pb.TxnRequest) (*pb.TxnResponse, error) {
	if err := s.checkTxn(request); err != nil {
		return nil, err
	}
	succeeded := true
	for _, compare := range request.Compare {
		holds, err := s.holds(compare)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && holds
	}
	operations := request.Failure
	if succeeded {
		operations = request.Success
	}
	if err := s.checkLeases(operations); err != nil {
		return nil, err
	}
	responses := s.execute(operations)
	return &pb.TxnResponse{
		Header:    s.header(),
		Succeeded: succeeded,
		Responses: responses,
	}, nil
}

func (s *state) checkTxn(request *pb.TxnRequest) error {
	if max(len(request.Compare), len(request.Success), len(request.Failure)) > maxTxnOps {
		return errTooManyOps
	}
	for _, compare := range request.Compare {
		if len(compare.Key) == 0 {
			return errEmptyKey
		}
	}
	for _, operations := range [][]*pb.RequestOp{request.Success, request.Failure} {
		if err := s.checkOperations(operations); err != nil {
			return err
		}
	}
	return nil
}

func (s *state) checkOperations(operations []*pb.RequestOp) error {
	puts := map[string]struct{}{}
	for _, operation := range operations {
		if err := s.checkOperation(operation); err != nil {
			return err
		}
		put := operation.GetRequestPut()
		if put == nil {
			continue
		}
		if _, ok := puts[string(put.Key)]; ok {
			return errDuplicateKey
		}
		puts[string(put.Key)] = struct{}{}
	}
	for _, operation := range operations {
		deletion := operation.GetRequestDeleteRange()
		if deletion == nil {
			continue
		}
		deleted := newKeyRange(deletion.Key, deletion.RangeEnd)
		for key := range puts {
			if deleted.has(key) {
				return errDuplicateKey
			}
		}
	}
	return nil
}

func (s *state) checkOperation(operation *pb.RequestOp) error {
	switch request := operation.Request.(type) {
	case *pb.RequestOp_RequestRange:
		return s.checkRange(request.RequestRange)
	case *pb.RequestOp_RequestPut:
		if unit.Bytes(len(request.RequestPut.Value)) > s.valueLimit {
			return errTooLarge
		}
		return checkKey(request.RequestPut.Key)
	case *pb.RequestOp_RequestDeleteRange:
		return checkKey(request.RequestDeleteRange.Key)
	}
	return errEmptyKey
}

func checkKey(key []byte) error {
	if len(key) == 0 {
		return errEmptyKey
	}
	return nil
}

func (s *state) checkLeases(operations []*pb.RequestOp) error {
	for _, operation := range operations {
		id := operation.GetRequestPut().GetLease()
		if _, ok := s.leases[id]; id != 0 && !ok {
			return errNoLease
		}
	}
	return nil
}

// execute runs checked operations. All that they write has one new revision,
// which counts only where something was written.
func (s *state) execute(operations []*pb.RequestOp) []*pb.ResponseOp {
	next := s.revision + 1
	var responses []*pb.ResponseOp
	for _, operation := range operations {
		switch request := operation.Request.(type) {
		case *pb.RequestOp_RequestRange:
			responses = append(responses, &pb.ResponseOp{
				Response: &pb.ResponseOp_ResponseRange{
					ResponseRange: s.rangeKeys(request.RequestRange),
				},
			})
		case *pb.RequestOp_RequestPut:
			responses = append(responses, s.executePut(request.RequestPut, next))
		case *pb.RequestOp_RequestDeleteRange:
			responses = append(responses, s.executeDelete(request.RequestDeleteRange, next))
		}
	}
	s.history.trim()
	return responses
}

func (s *state) executePut(request *pb.PutRequest, next int64) *pb.ResponseOp {
	previous := s.put(request, next)
	s.revision = next
	response := &pb.PutResponse{}
	if request.PrevKv {
		response.PrevKv = previous
	}
	return &pb.ResponseOp{
		Response: &pb.ResponseOp_ResponsePut{
			ResponsePut: response,
		},
	}
}

func (s *state) executeDelete(request *pb.DeleteRangeRequest, next int64) *pb.ResponseOp {
	removed := s.remove(newKeyRange(request.Key, request.RangeEnd), next)
	if len(removed) > 0 {
		s.revision = next
	}
	response := &pb.DeleteRangeResponse{
		Deleted: int64(len(removed)),
	}
	if request.PrevKv {
		response.PrevKvs = removed
	}
	return &pb.ResponseOp{
		Response: &pb.ResponseOp_ResponseDeleteRange{
			ResponseDeleteRange: response,
		},
	}
}

// holds evaluates a compare. An absent key has zeros, as in etcd, and fails any
// compare of its value.
func (s *state) holds(compare *pb.Compare) (bool, error) {
	if !targetMatches(compare) {
		return false, errBadCompare
	}
	kv, ok := s.keys[string(compare.Key)]
	if !ok {
		kv = &mvccpb.KeyValue{}
	}
	var order int
	switch target := compare.TargetUnion.(type) {
	case *pb.Compare_Version:
		order = cmp.Compare(kv.Version, target.Version)
	case *pb.Compare_CreateRevision:
		order = cmp.Compare(kv.CreateRevision, target.CreateRevision)
	case *pb.Compare_ModRevision:
		order = cmp.Compare(kv.ModRevision, target.ModRevision)
	case *pb.Compare_Lease:
		order = cmp.Compare(kv.Lease, target.Lease)
	case *pb.Compare_Value:
		if !ok {
			return false, nil
		}
		order = bytes.Compare(kv.Value, target.Value)
	}
	return inOrder(compare.Result, order), nil
}

// targetMatches tells whether the target named is the one given. etcd goes by
// the name, so a client that mixes them up would compare with something else.
func targetMatches(compare *pb.Compare) bool {
	switch compare.TargetUnion.(type) {
	case *pb.Compare_Version:
		return compare.Target == pb.Compare_VERSION
	case *pb.Compare_CreateRevision:
		return compare.Target == pb.Compare_CREATE
	case *pb.Compare_ModRevision:
		return compare.Target == pb.Compare_MOD
	case *pb.Compare_Value:
		return compare.Target == pb.Compare_VALUE
	case *pb.Compare_Lease:
		return compare.Target == pb.Compare_LEASE
	}
	return false
}

func inOrder(result pb.Compare_CompareResult, order int) bool {
	switch result {
	case pb.Compare_GREATER:
		return order > 0
	case pb.Compare_LESS:
		return order < 0
	case pb.Compare_NOT_EQUAL:
		return order != 0
	}
	return order == 0
}

func anyWrite(operations []*pb.RequestOp) bool {
	for _, operation := range operations {
		if operation.GetRequestPut() != nil || operation.GetRequestDeleteRange() != nil {
			return true
		}
	}
	return false
}
