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

// progressWatchID is the id in an answer to a progress request, as in etcd.
const progressWatchID = -1

type watchServerStream = grpc.BidiStreamingServer[pb.WatchRequest, pb.WatchResponse]

// watchService serves watches.
type watchService struct {
	pb.UnimplementedWatchServer
	server *Server
}

// watch is one watch of a stream.
type watch struct {
	id       int64
	keys     keyRange
	next     int64 // the first revision that isn't delivered yet
	progress bool
}

// watchStream is one client's stream with its watches.
type watchStream struct {
	server  *Server
	stream  watchServerStream
	watches []*watch
	lastID  int64
	// progressAsked is set until a progress request is answered.
	progressAsked bool
}

// Watch serves the watches of one stream until it ends.
func (w watchService) Watch(stream watchServerStream) error {
	ws := &watchStream{
		server: w.server,
		stream: stream,
	}
	defer ws.close()
	requests := make(chan *pb.WatchRequest)
	// Recv returns no earlier than this handler, whose return ends the stream:
	// so nobody can wait for this goroutine here.
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
		// The signal is taken before looking, so that no change is missed.
		changed := w.server.signal()
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
		return w.askProgress()
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
		id:       w.lastID,
		keys:     newKeyRange(request.Key, request.RangeEnd),
		next:     request.StartRevision,
		progress: request.ProgressNotify,
	}
	w.watches = append(w.watches, created)
	header, silent := w.server.open(created)
	if silent {
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
			Header:   w.drop(watch),
			WatchId:  id,
			Canceled: true,
		})
	}
	return nil
}

// askProgress takes a progress request. flush answers it, after the events.
func (w *watchStream) askProgress() error {
	delay, err := w.server.admit(kindProgress)
	if errors.Is(err, errOverQuota) {
		return nil
	}
	if err != nil {
		return err
	}
	w.progressAsked = true
	return w.server.wait(w.stream.Context(), kindProgress, delay)
}

// flush sends all that the watches haven't got yet.
func (w *watchStream) flush() error {
	for _, watch := range w.watches {
		if err := w.flushWatch(watch); err != nil {
			return err
		}
	}
	if !w.progressAsked {
		return nil
	}
	news := w.server.newsFor(nil)
	if news.err != nil || news.silent {
		return news.err
	}
	// Events may have come since the watches were flushed: the revision told is
	// the oldest that all of them have.
	for _, watch := range w.watches {
		news.header.Revision = min(news.header.Revision, watch.next-1)
	}
	w.progressAsked = false
	return w.stream.Send(&pb.WatchResponse{
		Header:  news.header,
		WatchId: progressWatchID,
	})
}

func (w *watchStream) flushWatch(watch *watch) error {
	news := w.server.newsFor(watch)
	if news.err != nil || news.silent {
		return news.err
	}
	if news.compacted > 0 {
		return w.cancelCompacted(watch, news)
	}
	if len(news.events) > 0 {
		if err := w.server.wait(w.stream.Context(), kindWatch, news.delay); err != nil {
			return err
		}
		err := w.stream.Send(&pb.WatchResponse{
			Header:  news.header,
			WatchId: watch.id,
			Events:  news.events,
		})
		if err != nil {
			return err
		}
	}
	watch.next = max(watch.next, news.header.Revision+1)
	return nil
}

func (w *watchStream) cancelCompacted(watch *watch, news news) error {
	return w.stream.Send(&pb.WatchResponse{
		Header:          w.drop(watch),
		WatchId:         watch.id,
		Canceled:        true,
		CompactRevision: news.compacted,
		CancelReason:    fmt.Sprintf("etcdserver: mvcc: required revision %d has been compacted", watch.next),
	})
}

// notifyProgress tells quiet watches that asked for it how far they are.
func (w *watchStream) notifyProgress() error {
	news := w.server.newsFor(nil)
	if news.err != nil || news.silent {
		return news.err
	}
	for _, watch := range w.watches {
		if !watch.progress {
			continue
		}
		news.header.Revision = min(news.header.Revision, watch.next-1)
		err := w.stream.Send(&pb.WatchResponse{
			Header:  news.header,
			WatchId: watch.id,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// drop takes a watch off the stream. The list is copied, since flush may be
// going over it.
func (w *watchStream) drop(watch *watch) *pb.ResponseHeader {
	i := slices.Index(w.watches, watch)
	w.watches = slices.Concat(w.watches[:i], w.watches[i+1:])
	return w.server.closeWatch(watch)
}

func (w *watchStream) close() {
	for _, watch := range w.watches {
		w.server.closeWatch(watch)
	}
}

// news is what a stream finds when it looks at the state.
type news struct {
	header    *pb.ResponseHeader
	events    []*mvccpb.Event
	compacted int64
	silent    bool
	delay     time.Duration
	err       error
}

// newsFor looks for what a watch hasn't got yet; without one at the state alone.
func (s *Server) newsFor(watch *watch) news {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := news{
		header: s.state.header(),
		silent: s.faults.SilentWatches,
	}
	if s.faults.Down {
		found.err = errDown
	}
	if watch == nil || found.silent {
		return found
	}
	if watch.next < s.state.history.compacted {
		found.compacted = s.state.history.compacted
		return found
	}
	found.events = s.state.history.since(watch.next, watch.keys)
	found.delay = s.delay()
	return found
}

// open starts to charge a watch and settles where it starts. A start of zero
// is the revision after the current one.
func (s *Server) open(watch *watch) (*pb.ResponseHeader, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watch.next == 0 {
		watch.next = s.state.revision + 1
	}
	s.waiting[watch] = s.options.Now()
	return s.state.header(), s.faults.SilentWatches
}

func (s *Server) closeWatch(watch *watch) *pb.ResponseHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, watch)
	return s.state.header()
}
