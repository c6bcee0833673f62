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

// progressRequestsPerSilence is how often a silent watch asks for progress
// before it counts as broken.
const progressRequestsPerSilence = 3

// requireLeader asks etcd to end the watch when its member loses the leader. A
// member that is cut off would otherwise answer progress requests for ever and
// never have an event.
const requireLeader = "hasleader"

type watchClientStream = grpc.BidiStreamingClient[pb.WatchRequest, pb.WatchResponse]

// watch is one watch that runs.
type watch struct {
	client   *Client
	prefix   string
	seen     ident.Revision // up to where everything was delivered
	deliver  func(store.Batch) error
	opened   chan watchClientStream
	incoming chan *pb.WatchResponse
	receiver tomb.Tomb
}

// Watch delivers the changes under a prefix that come after a revision, in
// order, and blocks until it ends. All changes of one revision come in one
// batch. The first batch, without events, says that the watch stands; later ones
// without events are signs of life. deliver is called from the caller's
// goroutine.
//
// It returns deliver's error, or the context's once that is done. In all other
// cases it returns store.ErrWatchBroken: the service can't be reached, has
// dropped the changes asked for, went back to an older revision, or was silent
// for longer than Options.WatchSilence although asked for progress. That may be
// at once: whoever watches again paces itself.
func (c *Client) Watch(ctx context.Context, prefix string, after ident.Revision, deliver func(store.Batch) error) error {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{
		client:   c,
		prefix:   prefix,
		seen:     after,
		deliver:  deliver,
		opened:   make(chan watchClientStream),
		incoming: make(chan *pb.WatchResponse),
	}
	c.calls.add(callWatch)
	w.receiver.Go(func() error { return w.receive(ctx) })
	err := w.run(ctx)
	cancel()
	w.receiver.Kill(nil)
	_ = w.receiver.Wait()
	return err
}

// run is the loop that owns the watch.
//
// Its silence timer guards against a watch that stays open and brings nothing,
// because the service or a middlebox forgot it: to the caller that looks like a
// quiet prefix, and the host would serve old settings for ever. It holds since
// only a message on this very stream counts as life, and since the service owes
// an answer to each progress request.
func (w *watch) run(ctx context.Context) error {
	limit := w.client.options.WatchSilence
	silence := time.NewTimer(limit)
	defer silence.Stop()
	ask := time.NewTicker(limit / (progressRequestsPerSilence + 1))
	defer ask.Stop()
	var stream watchClientStream
	for {
		select {
		case stream = <-w.opened:
		case response := <-w.incoming:
			if err := w.take(response); err != nil {
				return err
			}
			silence.Reset(limit)
			ask.Reset(limit / (progressRequestsPerSilence + 1))
		case <-ask.C:
			w.askProgress(stream)
		case <-silence.C:
			return w.broken(errors.Errorf("silent for %s", limit))
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "watch")
		case <-w.receiver.Dead():
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "watch")
			}
			return w.broken(w.receiver.Err())
		}
	}
}

// receive opens the stream and passes on what comes until it ends.
func (w *watch) receive(ctx context.Context) error {
	ctx = metadata.AppendToOutgoingContext(ctx, requireLeader, "true")
	stream, err := w.client.watches.Watch(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(w.createRequest()); err != nil {
		// The reason of a stream that has ended is in Recv.
		_, err := stream.Recv()
		return err
	}
	select {
	case w.opened <- stream:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case w.incoming <- response:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *watch) createRequest() *pb.WatchRequest {
	keys := underPrefix(w.prefix)
	return &pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_CreateRequest{
			CreateRequest: &pb.WatchCreateRequest{
				Key:            keys.first,
				RangeEnd:       keys.end,
				StartRevision:  int64(w.seen) + 1,
				ProgressNotify: true,
			},
		},
	}
}

// askProgress sends a progress request. It can't block for long: the few
// requests of one silence fit the stream's flow control window. A failure to
// send shows in the receiver.
func (w *watch) askProgress(stream watchClientStream) {
	if stream == nil {
		return
	}
	w.client.calls.add(callProgress)
	_ = stream.Send(&pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_ProgressRequest{
			ProgressRequest: &pb.WatchProgressRequest{},
		},
	})
}

// take checks a message of the service and delivers what it says.
func (w *watch) take(response *pb.WatchResponse) error {
	revision := ident.Revision(response.Header.GetRevision())
	switch {
	case response.Canceled:
		return w.broken(errors.Errorf("canceled: %s (compact revision %d)",
			response.CancelReason, response.CompactRevision))
	case response.Created:
		return w.takeCreated(revision)
	case len(response.Events) > 0:
		return w.takeEvents(response.Events)
	}
	w.seen = max(w.seen, revision)
	return w.deliverBatch(nil)
}

// takeCreated guards against a service that came back with less than it had,
// from a backup or empty: it would accept a watch of the future and be quiet
// until its revision gets there. The header of its answer shows it.
func (w *watch) takeCreated(revision ident.Revision) error {
	if revision < w.seen {
		return w.broken(errors.Errorf("service is at revision %d, before %d", revision, w.seen))
	}
	return w.deliverBatch(nil)
}

// takeEvents guards against a progress answer that ran ahead of the events,
// which some versions of etcd give: an event at or before a revision that was
// already told as complete shows that the telling was false.
func (w *watch) takeEvents(events []*mvccpb.Event) error {
	var batch []store.Event
	for _, event := range events {
		revision := ident.Revision(event.Kv.GetModRevision())
		if revision <= w.seen {
			return w.broken(errors.Errorf("event of revision %d after %d was complete", revision, w.seen))
		}
		batch = append(batch, store.Event{
			Entry:   entry(event.Kv),
			Deleted: event.Type == mvccpb.Event_DELETE,
		})
	}
	w.seen = batch[len(batch)-1].Entry.Revision
	return w.deliverBatch(batch)
}

func (w *watch) deliverBatch(events []store.Event) error {
	return w.deliver(store.Batch{
		Events:   events,
		Revision: w.seen,
	})
}

func (w *watch) broken(cause error) error {
	return &callError{
		kind:    callWatch,
		outcome: store.ErrWatchBroken,
		cause:   cause,
	}
}
