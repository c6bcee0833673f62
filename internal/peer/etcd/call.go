package etcd

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"cicadaloom/internal/domain/store"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// spaceExceeded is the one refusal of etcd with RESOURCE_EXHAUSTED that may come
// after the write took effect: it goes over its space quota, applies the write
// that crossed it, and reports the crossing.
const spaceExceeded = "database space exceeded"

// trace is what became known about one call while it ran.
type trace struct {
	sent      atomic.Bool // a stream was handed to a connection
	hasHeader atomic.Bool // the server began an answer
	hasStatus atomic.Bool // the server itself ended the call with a status
}

type traceKey struct{}

// call is one unary call or one round trip on a stream.
type call struct {
	kind  callKind
	trace *trace
}

// begin counts a call and bounds it: by the context's deadline, or else by the
// default limit.
func (c *Client) begin(ctx context.Context, kind callKind) (call, context.Context, context.CancelFunc) {
	c.calls.add(kind)
	started := call{
		kind:  kind,
		trace: &trace{},
	}
	ctx = context.WithValue(ctx, traceKey{}, started.trace)
	if _, ok := ctx.Deadline(); ok {
		ctx, cancel := context.WithCancel(ctx)
		return started, ctx, cancel
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallLimit)
	return started, ctx, cancel
}

// readFailed is the error of a read, which has no effect in any case.
func (c call) readFailed(cause error) error {
	return c.failed(store.ErrUnavailable, cause)
}

// writeFailed is the error of a write.
//
// It guards against the worst fault of this service: an answer that is lost
// after the write took effect, which shows as Unavailable, DeadlineExceeded or
// Canceled, just as a connection that never came about. Whoever takes such a
// write for one that wasn't made runs a request twice. So only the proofs in the
// package comment give ErrUnavailable. They hold because grpc reports the stream
// before the call can return, and because a lost connection, a proxy or grpc
// itself can't make an answer that consists of a status alone look as if it came
// from the server's end of the stream.
func (c call) writeFailed(cause error) error {
	if !c.trace.sent.Load() || c.refused(cause) {
		return c.failed(store.ErrUnavailable, cause)
	}
	return c.failed(store.ErrUnknownOutcome, cause)
}

// refused tells whether the server proves that it didn't execute a write.
func (c call) refused(cause error) bool {
	if !c.trace.hasStatus.Load() || c.trace.hasHeader.Load() {
		return false
	}
	answer := status.Convert(cause)
	switch answer.Code() {
	case codes.ResourceExhausted:
		return !strings.Contains(answer.Message(), spaceExceeded)
	case codes.InvalidArgument, codes.NotFound, codes.FailedPrecondition, codes.OutOfRange,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return true
	}
	return false
}

func (c call) failed(outcome, cause error) error {
	return &callError{
		kind:    c.kind,
		outcome: outcome,
		cause:   cause,
	}
}

// callError is a failed call: one of the errors of package store and its cause.
type callError struct {
	kind    callKind
	outcome error
	cause   error
}

// Error names the call, what is known of its outcome, and the cause.
func (e *callError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.kind, e.outcome, e.cause)
}

// Unwrap lets errors.Is find the outcome, the cause, and the context's error
// that the cause stands for.
func (e *callError) Unwrap() []error {
	errs := []error{e.outcome, e.cause}
	switch status.Code(e.cause) {
	case codes.Canceled:
		errs = append(errs, context.Canceled)
	case codes.DeadlineExceeded:
		errs = append(errs, context.DeadlineExceeded)
	}
	return errs
}

// traceHandler fills the trace of a call from what grpc reports of it.
type traceHandler struct{}

// TagRPC leaves the context as it is: begin has put the trace there.
func (traceHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC notes how far a call got.
func (traceHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	trace, ok := ctx.Value(traceKey{}).(*trace)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.OutHeader:
		trace.sent.Store(true)
	case *stats.InHeader:
		trace.hasHeader.Store(true)
	case *stats.InTrailer:
		trace.hasStatus.Store(true)
	}
}

// TagConn leaves the context as it is.
func (traceHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn takes no note of connections.
func (traceHandler) HandleConn(context.Context, stats.ConnStats) {}
