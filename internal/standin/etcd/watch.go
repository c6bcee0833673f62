package etcd

import (
	"fmt"
	"io"
	"slices"
	"time"

	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"gopkg.in/tomb.v2"
)

// progressWatchID is the watch id in the response to a progress request, as in
// etcd.
const progressWatchID = -1

type watchServerStream = grpc.BidiStreamingServer[pb.WatchRequest, pb.WatchResponse]

// watchService implements the Watch gRPC service.
type watchService struct {
	pb.UnimplementedWatchServer
	server *Server
}

// watch is one watch of a stream.
type watch struct {
	id            int64
	keys          keyRange
	nextRevision  int64 // first revision not delivered yet
	wantsProgress bool
}

// watchStream is a client's stream with its watches.
type watchStream struct {
	server  *Server
	stream  watchServerStream
	watches []*watch
	lastID  int64
	// progressRequested is set until the progress request is answered.
	progressRequested bool
}

// Watch serves the watches of one stream until it ends.
func (w watchService) Watch(stream watchServerStream) error {
	ws := &watchStream{
		server: w.server,
		stream: stream,
	}
	defer ws.close()
	requests := make(chan *pb.WatchRequest)
	// Recv blocks until this handler returns, since its return ends the stream:
	// the handler can't wait for the receiving goroutine.
	var receiver tomb.Tomb
	receiver.Go(func() error { return ws.receive(requests) })
	return ws.run(requests, &receiver)
}

func (w *watchStream) receive(requests chan<- *pb.WatchRequest) error {
	for {
		request, err := w.stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case requests <- request:
		case <-w.stream.Context().Done():
			return nil
		}
	}
}

func (w *watchStream) run(requests <-chan *pb.WatchRequest, receiver *tomb.Tomb) error {
	dying := w.server.dying()
	notify := time.NewTicker(w.server.options.ProgressNotifyTime)
	defer notify.Stop()
	for {
		// Takes the signal before it checks the state, so that no change is
		// missed.
		changed := w.server.changeSignal()
		if err := w.flush(); err != nil {
			return err
		}
		select {
		case request := <-requests:
			if err := w.handle(request); err != nil {
				return err
			}
		case <-notify.C:
			if err := w.notifyProgress(); err != nil {
				return err
			}
		case <-changed:
		case <-receiver.Dead():
			return receiver.Err()
		case <-dying:
			return errStopping
		}
	}
}

func (w *watchStream) handle(request *pb.WatchRequest) error {
	switch request := request.RequestUnion.(type) {
	case *pb.WatchRequest_CreateRequest:
		return w.create(request.CreateRequest)
	case *pb.WatchRequest_CancelRequest:
		return w.cancel(request.CancelRequest.WatchId)
	case *pb.WatchRequest_ProgressRequest:
		return w.requestProgress()
	}
	return nil
}

func (w *watchStream) create(request *pb.WatchCreateRequest) error {
	delay, err := w.server.admit(kindWatch)
	if err != nil {
		return err
	}
	if err := w.server.wait(w.stream.Context(), kindWatch, delay); err != nil {
		return err
	}
	w.lastID++
	created := &watch{
		id:            w.lastID,
		keys:          newKeyRange(request.Key, request.RangeEnd),
		nextRevision:  request.StartRevision,
		wantsProgress: request.ProgressNotify,
	}
	w.watches = append(w.watches, created)
	header, silenced := w.server.openWatch(created)
	if silenced {
		return nil
	}
	return w.stream.Send(&pb.WatchResponse{
		Header:  header,
		WatchId: created.id,
		Created: true,
	})
}

func (w *watchStream) cancel(id int64) error {
	for _, watch := range w.watches {
		if watch.id != id {
			continue
		}
		return w.stream.Send(&pb.WatchResponse{
			Header:   w.removeWatch(watch),
			WatchId:  id,
			Canceled: true,
		})
	}
	return nil
}

// requestProgress records a progress request. flush answers it, after the events.
func (w *watchStream) requestProgress() error {
	delay, err := w.server.admit(kindProgress)
	if errors.Is(err, errQuotaExceeded) {
		return nil
	}
	if err != nil {
		return err
	}
	w.progressRequested = true
	return w.server.wait(w.stream.Context(), kindProgress, delay)
}

// flush sends all undelivered events and answers a progress request.
func (w *watchStream) flush() error {
	for _, watch := range w.watches {
		if err := w.flushWatch(watch); err != nil {
			return err
		}
	}
	if !w.progressRequested {
		return nil
	}
	update := w.server.updateFor(nil)
	if update.err != nil || update.silenced {
		return update.err
	}
	// Events may have arrived since the watches were flushed: the response has
	// the newest revision that all watches have been sent.
	for _, watch := range w.watches {
		update.header.Revision = min(update.header.Revision, watch.nextRevision-1)
	}
	w.progressRequested = false
	return w.stream.Send(&pb.WatchResponse{
		Header:  update.header,
		WatchId: progressWatchID,
	})
}

func (w *watchStream) flushWatch(watch *watch) error {
	update := w.server.updateFor(watch)
	if update.err != nil || update.silenced {
		return update.err
	}
	if update.compactRevision > 0 {
		return w.cancelCompacted(watch, update)
	}
	if len(update.events) > 0 {
		if err := w.server.wait(w.stream.Context(), kindWatch, update.delay); err != nil {
			return err
		}
		err := w.stream.Send(&pb.WatchResponse{
			Header:  update.header,
			WatchId: watch.id,
			Events:  update.events,
		})
		if err != nil {
			return err
		}
	}
	watch.nextRevision = max(watch.nextRevision, update.header.Revision+1)
	return nil
}

func (w *watchStream) cancelCompacted(watch *watch, update watchUpdate) error {
	return w.stream.Send(&pb.WatchResponse{
		Header:          w.removeWatch(watch),
		WatchId:         watch.id,
		Canceled:        true,
		CompactRevision: update.compactRevision,
		CancelReason:    fmt.Sprintf("etcdserver: mvcc: required revision %d has been compacted", watch.nextRevision),
	})
}

// notifyProgress sends the delivered revision to the watches that asked for
// progress notifications.
func (w *watchStream) notifyProgress() error {
	update := w.server.updateFor(nil)
	if update.err != nil || update.silenced {
		return update.err
	}
	for _, watch := range w.watches {
		if !watch.wantsProgress {
			continue
		}
		update.header.Revision = min(update.header.Revision, watch.nextRevision-1)
		err := w.stream.Send(&pb.WatchResponse{
			Header:  update.header,
			WatchId: watch.id,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// removeWatch removes a watch from the stream. It copies the list, since flush may
// be iterating over it.
func (w *watchStream) removeWatch(watch *watch) *pb.ResponseHeader {
	i := slices.Index(w.watches, watch)
	w.watches = slices.Concat(w.watches[:i], w.watches[i+1:])
	return w.server.closeWatch(watch)
}

func (w *watchStream) close() {
	for _, watch := range w.watches {
		w.server.closeWatch(watch)
	}
}

// watchUpdate is what a watch stream has to send, as of one look at the state.
type watchUpdate struct {
	header          *pb.ResponseHeader
	events          []*mvccpb.Event
	compactRevision int64
	silenced        bool
	delay           time.Duration
	err             error
}

// updateFor returns the undelivered events of a watch. For a nil watch it returns
// the header and the faults only.
func (s *Server) updateFor(watch *watch) watchUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := watchUpdate{
		header:   s.state.header(),
		silenced: s.activeFaults.SilentWatches,
	}
	if s.activeFaults.Down {
		update.err = errDown
	}
	if watch == nil || update.silenced {
		return update
	}
	if watch.nextRevision < s.state.history.compactRevision {
		update.compactRevision = s.state.history.compactRevision
		return update
	}
	update.events = s.state.history.eventsSince(watch.nextRevision, watch.keys)
	update.delay = s.drawDelay()
	return update
}

// openWatch starts to charge a watch and sets its first revision. A revision of
// zero stands for the one after the current revision.
func (s *Server) openWatch(watch *watch) (*pb.ResponseHeader, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watch.nextRevision == 0 {
		watch.nextRevision = s.state.revision + 1
	}
	s.chargedUntil[watch] = s.options.Now()
	return s.state.header(), s.activeFaults.SilentWatches
}

func (s *Server) closeWatch(watch *watch) *pb.ResponseHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.chargedUntil, watch)
	return s.state.header()
}
