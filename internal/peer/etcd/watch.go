package etcd

import (
	"context"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"gopkg.in/tomb.v2"
)

// progressRequestsPerTimeout is the number of progress requests that a silent watch
// sends before it counts as broken.
const progressRequestsPerTimeout = 3

// requireLeaderKey is the metadata key by which etcd ends the watch when the member that
// serves it has no raft leader. Otherwise a partitioned member would answer progress
// requests for ever and never send an event.
const requireLeaderKey = "hasleader"

type watchClientStream = grpc.BidiStreamingClient[pb.WatchRequest, pb.WatchResponse]

// watch is one running watch. receiver reads the stream and passes its responses to
// run, which owns all other state.
type watch struct {
	client    *Client
	prefix    string
	delivered ident.Revision // all changes up to it have been delivered
	deliver   func(store.Batch) error
	streams   chan watchClientStream
	responses chan *pb.WatchResponse
	receiver  tomb.Tomb
}

// Watch delivers the changes under a prefix that come after a revision, in order, and
// blocks until the watch ends. All changes of one revision are in one batch. The first
// batch has no events and means that the watch is established; later ones without events
// are heartbeats. deliver is called from the caller's goroutine.
//
// Watch returns deliver's error, or the context's once that is done. In all other cases
// it returns store.ErrWatchBroken: the service can't be reached, has compacted the
// requested changes, went back to an older revision, or sent nothing for longer than
// Options.WatchTimeout in spite of progress requests. That may happen at once, so the
// caller must limit the rate of its retries.
func (c *Client) Watch(ctx context.Context, prefix string, after ident.Revision, deliver func(store.Batch) error) error {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{
		client:    c,
		prefix:    prefix,
		delivered: after,
		deliver:   deliver,
		streams:   make(chan watchClientStream),
		responses: make(chan *pb.WatchResponse),
	}
	c.calls.increment(callWatch)
	w.receiver.Go(func() error { return w.receive(ctx) })
	err := w.run(ctx)
	cancel()
	w.receiver.Kill(nil)
	_ = w.receiver.Wait()
	return err
}

// run handles the stream's responses until the watch ends.
//
// Its timeout guards against a watch that stays open and receives nothing because the
// service or a middlebox has lost it: to the caller that looks like a prefix without
// changes, and the host would serve old settings for ever. The guard holds because only
// responses on this stream reset the timeout, and because the service has to answer each
// progress request.
func (w *watch) run(ctx context.Context) error {
	timeout := w.client.options.WatchTimeout
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	progressTicker := time.NewTicker(timeout / (progressRequestsPerTimeout + 1))
	defer progressTicker.Stop()
	var stream watchClientStream
	for {
		select {
		case stream = <-w.streams:
		case response := <-w.responses:
			if err := w.handleResponse(response); err != nil {
				return err
			}
			timer.Reset(timeout)
			progressTicker.Reset(timeout / (progressRequestsPerTimeout + 1))
		case <-progressTicker.C:
			w.requestProgress(stream)
		case <-timer.C:
			return w.newBrokenError(errors.Errorf("no response for %s", timeout))
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "watch")
		case <-w.receiver.Dead():
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "watch")
			}
			return w.newBrokenError(w.receiver.Err())
		}
	}
}

// receive opens the stream and passes its responses to run until it ends.
func (w *watch) receive(ctx context.Context) error {
	ctx = metadata.AppendToOutgoingContext(ctx, requireLeaderKey, "true")
	stream, err := w.client.watches.Watch(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(w.newCreateRequest()); err != nil {
		// The stream has ended; Recv returns the reason.
		_, err := stream.Recv()
		return err
	}
	select {
	case w.streams <- stream:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case w.responses <- response:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *watch) newCreateRequest() *pb.WatchRequest {
	keys := prefixRange(w.prefix)
	return &pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_CreateRequest{
			CreateRequest: &pb.WatchCreateRequest{
				Key:            keys.first,
				RangeEnd:       keys.end,
				StartRevision:  int64(w.delivered) + 1,
				ProgressNotify: true,
			},
		},
	}
}

// requestProgress sends a progress request. It can't block for long: the few requests
// within one timeout fit the stream's flow control window. If sending fails, the
// receiver gets the error.
func (w *watch) requestProgress(stream watchClientStream) {
	if stream == nil {
		return
	}
	w.client.calls.increment(callProgress)
	_ = stream.Send(&pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_ProgressRequest{
			ProgressRequest: &pb.WatchProgressRequest{},
		},
	})
}

// handleResponse checks a response of the service and delivers its changes.
func (w *watch) handleResponse(response *pb.WatchResponse) error {
	revision := ident.Revision(response.Header.GetRevision())
	switch {
	case response.Canceled:
		return w.newBrokenError(errors.Errorf("canceled: %s (compact revision %d)",
			response.CancelReason, response.CompactRevision))
	case response.Created:
		return w.handleCreated(revision)
	case len(response.Events) > 0:
		return w.handleEvents(response.Events)
	}
	w.delivered = max(w.delivered, revision)
	return w.deliverBatch(nil)
}

// handleCreated guards against a service that was restored from a backup or came back
// empty: it would accept a watch from a revision that it hasn't reached, and send nothing
// until it does. The revision in the response's header shows this.
func (w *watch) handleCreated(revision ident.Revision) error {
	if revision < w.delivered {
		return w.newBrokenError(errors.Errorf("service is at revision %d, expected at least %d", revision, w.delivered))
	}
	return w.deliverBatch(nil)
}

// handleEvents guards against a progress response that is ahead of the events, which
// some versions of etcd send: it shows as an event at or before a revision that was
// already delivered as complete.
func (w *watch) handleEvents(events []*mvccpb.Event) error {
	var batch []store.Event
	for _, event := range events {
		revision := ident.Revision(event.Kv.GetModRevision())
		if revision <= w.delivered {
			return w.newBrokenError(errors.Errorf("event of revision %d after revision %d was complete", revision, w.delivered))
		}
		batch = append(batch, store.Event{
			Entry:   decodeEntry(event.Kv),
			Deleted: event.Type == mvccpb.Event_DELETE,
		})
	}
	w.delivered = batch[len(batch)-1].Entry.Revision
	return w.deliverBatch(batch)
}

func (w *watch) deliverBatch(events []store.Event) error {
	return w.deliver(store.Batch{
		Events:   events,
		Revision: w.delivered,
	})
}

func (w *watch) newBrokenError(cause error) error {
	return &callError{
		kind:    callWatch,
		outcome: store.ErrWatchBroken,
		cause:   cause,
	}
}
