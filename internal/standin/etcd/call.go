package etcd

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// kind is what a call asks for.
type kind int

const (
	kindRange kind = iota
	kindPut
	kindDelete
	kindTxn
	kindReadTxn
	kindGrant
	kindRevoke
	kindKeepAlive
	kindWatch
	kindProgress
	kinds
)

func (k kind) writes() bool {
	switch k {
	case kindPut, kindDelete, kindTxn, kindGrant, kindRevoke, kindKeepAlive:
		return true
	}
	return false
}

var (
	errDown         = status.Error(codes.Unavailable, "etcdserver: no leader")
	errAnswerLost   = status.Error(codes.Unavailable, "connection lost before the answer")
	errStopping     = status.Error(codes.Unavailable, "etcdserver: server stopped")
	errOverQuota    = status.Error(codes.ResourceExhausted, "etcdserver: too many requests")
	errNoLease      = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errLeaseExists  = status.Error(codes.FailedPrecondition, "etcdserver: lease already exists")
	errTooLarge     = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errEmptyKey     = status.Error(codes.InvalidArgument, "etcdserver: key is not provided")
	errDuplicateKey = status.Error(codes.InvalidArgument, "etcdserver: duplicate key given in txn request")
	errTooManyOps   = status.Error(codes.InvalidArgument, "etcdserver: too many operations in txn request")
	errBadSort      = status.Error(codes.InvalidArgument, "stand-in: only sorting by key, ascending, is served")
	errBadCompare   = status.Error(codes.InvalidArgument, "stand-in: compare without a matching target")
	errCompacted    = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	errFuture       = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
)

// effect tells whether a call changed anything.
type effect bool

// call runs one call through quota, delay and faults.
func (s *Server) call(ctx context.Context, kind kind, execute func(*state, time.Time) (effect, error)) error {
	delay, err := s.admit(kind)
	if err != nil {
		return err
	}
	if err := s.wait(ctx, kind, delay); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return errDown
	}
	s.catchUp()
	revision := s.state.revision
	changed, err := execute(s.state, s.options.Now())
	if s.state.revision != revision {
		s.wake()
	}
	if err != nil {
		return err
	}
	return s.loseAnswer(changed)
}

// admit counts a call, refuses it where the quota is used up, and says how long
// it is to be delayed.
func (s *Server) admit(kind kind) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.calls[kind]++
	if s.faults.Down {
		return 0, errDown
	}
	now := s.options.Now()
	s.chargeWaiting(now)
	if !s.quotas.take(kind, now) {
		s.stats.quotaRefusals++
		return 0, errOverQuota
	}
	return s.delay(), nil
}

// wait delays a call. A write whose client has given up is executed all the
// same when its time comes, as by a slow service that had taken it already: a
// client that timed out must not conclude that nothing happens any more.
func (s *Server) wait(ctx context.Context, kind kind, delay time.Duration) error {
	if delay == 0 {
		return nil
	}
	gone := ctx.Done()
	if kind.writes() {
		gone = nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-gone:
		return status.FromContextError(ctx.Err()).Err()
	case <-s.dying():
		return errStopping
	}
}

// loseAnswer makes a call that took effect look as if its connection broke.
func (s *Server) loseAnswer(changed effect) error {
	if !changed || s.faults.LoseAnswers <= 0 {
		return nil
	}
	s.faults.LoseAnswers--
	s.stats.answersLost++
	return errAnswerLost
}
