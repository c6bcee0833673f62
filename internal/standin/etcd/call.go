package etcd

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// callKind is the kind of a call, by which calls are counted and charged to a
// quota.
type callKind int

const (
	kindRange callKind = iota
	kindPut
	kindDelete
	kindTxn
	kindReadTxn
	kindGrant
	kindRevoke
	kindKeepAlive
	kindWatch
	kindProgress
	kindCount
)

func (k callKind) writes() bool {
	switch k {
	case kindPut, kindDelete, kindTxn, kindGrant, kindRevoke, kindKeepAlive:
		return true
	}
	return false
}

var (
	errDown           = status.Error(codes.Unavailable, "etcdserver: no leader")
	errAnswerLost     = status.Error(codes.Unavailable, "connection lost before the answer")
	errStopping       = status.Error(codes.Unavailable, "etcdserver: server stopped")
	errQuotaExceeded  = status.Error(codes.ResourceExhausted, "etcdserver: too many requests")
	errNoLease        = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errLeaseExists    = status.Error(codes.FailedPrecondition, "etcdserver: lease already exists")
	errTooLarge       = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errEmptyKey       = status.Error(codes.InvalidArgument, "etcdserver: key is not provided")
	errDuplicateKey   = status.Error(codes.InvalidArgument, "etcdserver: duplicate key given in txn request")
	errTooManyOps     = status.Error(codes.InvalidArgument, "etcdserver: too many operations in txn request")
	errBadSort        = status.Error(codes.InvalidArgument, "stand-in: only sorting by key, ascending, is served")
	errBadCompare     = status.Error(codes.InvalidArgument, "stand-in: compare without a matching target")
	errCompacted      = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	errFutureRevision = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
)

// effect reports whether a call changed any state.
type effect bool

// call runs execute with the server's state, after the quota check, the configured
// delay and the fault checks. It applies the LoseAnswers fault to the result.
func (s *Server) call(ctx context.Context, kind callKind, execute func(*state, time.Time) (effect, error)) error {
	delay, err := s.admit(kind)
	if err != nil {
		return err
	}
	if err := s.wait(ctx, kind, delay); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeFaults.Down {
		return errDown
	}
	s.applyElapsedTime()
	revision := s.state.revision
	changed, err := execute(s.state, s.options.Now())
	if s.state.revision != revision {
		s.notifyWatches()
	}
	if err != nil {
		return err
	}
	return s.loseAnswer(changed)
}

// admit counts a call and charges it to its quota. It returns the delay of the
// call, or an error if the service is down or the quota is used up.
func (s *Server) admit(kind callKind) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.calls[kind]++
	if s.activeFaults.Down {
		return 0, errDown
	}
	now := s.options.Now()
	s.chargeWatches(now)
	if !s.quotas.allow(kind, now) {
		s.counters.quotaRefusals++
		return 0, errQuotaExceeded
	}
	return s.drawDelay(), nil
}

// wait delays a call. A write is executed after the delay even if its client has
// cancelled it, as a slow service does with a request that it has already
// received: a client must not conclude from a timeout that its write has no
// effect.
func (s *Server) wait(ctx context.Context, kind callKind, delay time.Duration) error {
	if delay == 0 {
		return nil
	}
	cancelled := ctx.Done()
	if kind.writes() {
		cancelled = nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-cancelled:
		return status.FromContextError(ctx.Err()).Err()
	case <-s.dying():
		return errStopping
	}
}

// loseAnswer applies the LoseAnswers fault: a call that took effect fails as if
// its connection had broken.
func (s *Server) loseAnswer(changed effect) error {
	if !changed || s.activeFaults.LoseAnswers <= 0 {
		return nil
	}
	s.activeFaults.LoseAnswers--
	s.counters.answersLost++
	return errAnswerLost
}
