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

// quotaExceededMessage marks the one RESOURCE_EXHAUSTED error of etcd that may follow a
// write that took effect: etcd applies the write that exceeds its space quota, and then
// reports that the quota is exceeded.
const quotaExceededMessage = "database space exceeded"

// callTrace records how far one call got, from grpc's stats events.
type callTrace struct {
	isSent    atomic.Bool // a stream was handed to a connection
	hasHeader atomic.Bool // the server started a response
	hasStatus atomic.Bool // the server itself ended the call with a status
}

type callTraceKey struct{}

// call is one unary call or one round trip on a stream.
type call struct {
	kind  callKind
	trace *callTrace
}

// startCall counts a call and returns a context for it that has the deadline of ctx, or
// else one after the call timeout.
func (c *Client) startCall(ctx context.Context, kind callKind) (call, context.Context, context.CancelFunc) {
	c.calls.increment(kind)
	newCall := call{
		kind:  kind,
		trace: &callTrace{},
	}
	ctx = context.WithValue(ctx, callTraceKey{}, newCall.trace)
	if _, ok := ctx.Deadline(); ok {
		ctx, cancel := context.WithCancel(ctx)
		return newCall, ctx, cancel
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	return newCall, ctx, cancel
}

// newReadError returns the error of a read, which never has an effect.
func (c call) newReadError(cause error) error {
	return c.newError(store.ErrUnavailable, cause)
}

// newWriteError returns the error of a write.
//
// It guards against a response that is lost after the write took effect. That shows as
// Unavailable, DeadlineExceeded or Canceled, just like a connection that was never
// established; a host that takes such a write for one that wasn't made runs a request
// twice. So only the proofs in the package comment result in ErrUnavailable. They hold
// because grpc reports the stream before the call can return, and because neither a lost
// connection nor a proxy nor grpc itself can produce a status-only response that appears
// to come from the server's end of the stream.
func (c call) newWriteError(cause error) error {
	if !c.trace.isSent.Load() || c.isRefusal(cause) {
		return c.newError(store.ErrUnavailable, cause)
	}
	return c.newError(store.ErrUnknownOutcome, cause)
}

// isRefusal reports whether the server's response proves that it didn't execute a write.
func (c call) isRefusal(cause error) bool {
	if !c.trace.hasStatus.Load() || c.trace.hasHeader.Load() {
		return false
	}
	serverStatus := status.Convert(cause)
	switch serverStatus.Code() {
	case codes.ResourceExhausted:
		return !strings.Contains(serverStatus.Message(), quotaExceededMessage)
	case codes.InvalidArgument, codes.NotFound, codes.FailedPrecondition, codes.OutOfRange,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return true
	}
	return false
}

func (c call) newError(outcome, cause error) error {
	return &callError{
		kind:    c.kind,
		outcome: outcome,
		cause:   cause,
	}
}

// callError is the error of a failed call: one of the errors of package store, and the
// cause.
type callError struct {
	kind    callKind
	outcome error
	cause   error
}

// Error returns the kind of call, its outcome and the cause.
func (e *callError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.kind, e.outcome, e.cause)
}

// Unwrap lets errors.Is find the outcome, the cause, and the context's error if the
// cause is a status that stands for one.
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

// traceHandler is a stats handler that records grpc's events in a call's trace.
type traceHandler struct{}

// TagRPC returns the context unchanged: startCall has put the trace into it.
func (traceHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC records an event in the call's trace.
func (traceHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	trace, ok := ctx.Value(callTraceKey{}).(*callTrace)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.OutHeader:
		trace.isSent.Store(true)
	case *stats.InHeader:
		trace.hasHeader.Store(true)
	case *stats.InTrailer:
		trace.hasStatus.Store(true)
	}
}

// TagConn returns the context unchanged.
func (traceHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn ignores events of connections.
func (traceHandler) HandleConn(context.Context, stats.ConnStats) {}
