package etcd

import (
	"bytes"
	"cmp"

	"cicadaloom/internal/domain/unit"
	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"
)

// maxTxnOps is etcd's limit on the compares and on each operation list of a
// transaction.
const maxTxnOps = 128

// txn executes a transaction. If it returns an error, nothing was executed.
func (s *state) txn(request *pb.TxnRequest) (*pb.TxnResponse, error) {
	if err := s.checkTxn(request); err != nil {
		return nil, err
	}
	succeeded := true
	for _, compare := range request.Compare {
		isTrue, err := s.evaluateCompare(compare)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && isTrue
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
			if deleted.contains(key) {
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

// execute runs operations that were checked. All their writes have the same new
// revision; the revision stays if nothing was written.
func (s *state) execute(operations []*pb.RequestOp) []*pb.ResponseOp {
	nextRevision := s.revision + 1
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
			responses = append(responses, s.executePut(request.RequestPut, nextRevision))
		case *pb.RequestOp_RequestDeleteRange:
			responses = append(responses, s.executeDelete(request.RequestDeleteRange, nextRevision))
		}
	}
	s.history.trim()
	return responses
}

func (s *state) executePut(request *pb.PutRequest, revision int64) *pb.ResponseOp {
	previous := s.put(request, revision)
	s.revision = revision
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

func (s *state) executeDelete(request *pb.DeleteRangeRequest, revision int64) *pb.ResponseOp {
	removed := s.deleteRange(newKeyRange(request.Key, request.RangeEnd), revision)
	if len(removed) > 0 {
		s.revision = revision
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

// evaluateCompare evaluates a compare. A missing key compares as zeros, as in
// etcd, and fails any compare of its value.
func (s *state) evaluateCompare(compare *pb.Compare) (bool, error) {
	if !targetMatches(compare) {
		return false, errBadCompare
	}
	kv, ok := s.keys[string(compare.Key)]
	if !ok {
		kv = &mvccpb.KeyValue{}
	}
	var comparison int
	switch target := compare.TargetUnion.(type) {
	case *pb.Compare_Version:
		comparison = cmp.Compare(kv.Version, target.Version)
	case *pb.Compare_CreateRevision:
		comparison = cmp.Compare(kv.CreateRevision, target.CreateRevision)
	case *pb.Compare_ModRevision:
		comparison = cmp.Compare(kv.ModRevision, target.ModRevision)
	case *pb.Compare_Lease:
		comparison = cmp.Compare(kv.Lease, target.Lease)
	case *pb.Compare_Value:
		if !ok {
			return false, nil
		}
		comparison = bytes.Compare(kv.Value, target.Value)
	}
	return matchesResult(compare.Result, comparison), nil
}

// targetMatches reports whether the named target is that of the operand. etcd goes
// by the name, so a client that confuses them would compare with something else.
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

func matchesResult(result pb.Compare_CompareResult, comparison int) bool {
	switch result {
	case pb.Compare_GREATER:
		return comparison > 0
	case pb.Compare_LESS:
		return comparison < 0
	case pb.Compare_NOT_EQUAL:
		return comparison != 0
	}
	return comparison == 0
}

func hasWrite(operations []*pb.RequestOp) bool {
	for _, operation := range operations {
		if operation.GetRequestPut() != nil || operation.GetRequestDeleteRange() != nil {
			return true
		}
	}
	return false
}
