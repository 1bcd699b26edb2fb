package standin

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
)

// broadcastWatchID is the watch id in answers to progress requests.
const broadcastWatchID = -1

// watchStream is one stream with its watches.
type watchStream struct {
	server *Server
	stream pb.Watch_WatchServer

	watches map[int64]*watch
	nextID  int64
}

type watch struct {
	id         int64
	first, end []byte
	next       int64
	progress   bool
	prev       bool
}

// Watch serves one stream. The changes of all its watches are sent from one
// goroutine, so that an answer to a progress request follows every change that
// it covers.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	w := &watchStream{server: s, stream: stream, watches: map[int64]*watch{}}
	requests := make(chan *pb.WatchRequest)
	failed := make(chan error, 1)
	go func() {
		for {
			r, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case requests <- r:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	changed, err := w.deliver()
	for err == nil {
		select {
		case r := <-requests:
			err = w.handle(r)
		case <-changed:
		case <-ticker.C:
			err = w.sendProgress()
		case err := <-failed:
			return err
		case <-s.done:
			return status.Error(codes.Unavailable, "etcdserver: server stopped")
		}
		if err == nil {
			changed, err = w.deliver()
		}
	}
	return err
}

func (w *watchStream) handle(r *pb.WatchRequest) error {
	switch r := r.RequestUnion.(type) {
	case *pb.WatchRequest_CreateRequest:
		return w.create(r.CreateRequest)
	case *pb.WatchRequest_CancelRequest:
		return w.cancel(r.CancelRequest.WatchId, 0, "")
	case *pb.WatchRequest_ProgressRequest:
		w.server.calls.add(w.stream.Context(), CallProgress)
		if _, err := w.deliver(); err != nil {
			return err
		}
		return w.stream.Send(&pb.WatchResponse{Header: w.head(), WatchId: broadcastWatchID})
	default:
		return status.Error(codes.InvalidArgument, "etcdserver: watch request of unknown type")
	}
}

// head returns a header with the revision up to which all watches are
// delivered.
func (w *watchStream) head() *pb.ResponseHeader {
	head := w.server.head()
	for _, watch := range w.watches {
		head.Revision = min(head.Revision, watch.next-1)
	}
	return head
}

func (w *watchStream) create(r *pb.WatchCreateRequest) error {
	w.server.calls.add(w.stream.Context(), CallWatch)
	if err := w.server.faults.before(w.stream.Context()); err != nil {
		return err
	}
	if len(r.Key) == 0 {
		return errEmptyKey
	}
	id := r.WatchId
	if id == 0 {
		w.nextID++
		id = w.nextID
	}
	head := w.server.head()
	from := r.StartRevision
	if from == 0 {
		from = head.Revision + 1
	}
	w.watches[id] = &watch{
		id: id, first: r.Key, end: r.RangeEnd, next: from,
		progress: r.ProgressNotify, prev: r.PrevKv,
	}
	return w.stream.Send(&pb.WatchResponse{Header: head, WatchId: id, Created: true})
}

func (w *watchStream) cancel(id, compacted int64, reason string) error {
	if w.watches[id] == nil {
		return nil
	}
	delete(w.watches, id)
	return w.stream.Send(&pb.WatchResponse{
		Header: w.server.head(), WatchId: id, Canceled: true,
		CompactRevision: compacted, CancelReason: reason,
	})
}

// deliver sends the outstanding changes of all watches, one message for each
// revision.
func (w *watchStream) deliver() (<-chan struct{}, error) {
	changed := w.server.engine.changes()
	for _, watch := range w.watches {
		changes, current, err := w.server.engine.since(watch.first, watch.end, watch.next)
		if err != nil {
			if err := w.cancel(watch.id, current, "etcdserver: mvcc: required revision has been compacted"); err != nil {
				return nil, err
			}
			continue
		}
		for _, c := range changes {
			if err := w.send(watch, c); err != nil {
				return nil, err
			}
		}
		watch.next = max(watch.next, current+1)
	}
	return changed, nil
}

func (w *watchStream) send(watch *watch, c change) error {
	head := w.server.head()
	head.Revision = c.revision
	events := make([]*mvccpb.Event, 0, len(c.events))
	for _, event := range c.events {
		sent := &mvccpb.Event{Type: event.Type, Kv: event.Kv}
		if watch.prev {
			sent.PrevKv = event.PrevKv
		}
		events = append(events, sent)
	}
	return w.stream.Send(&pb.WatchResponse{Header: head, WatchId: watch.id, Events: events})
}

// sendProgress tells the watches that asked for it how far they are.
func (w *watchStream) sendProgress() error {
	for _, watch := range w.watches {
		if !watch.progress {
			continue
		}
		head := w.server.head()
		head.Revision = min(head.Revision, watch.next-1)
		if err := w.stream.Send(&pb.WatchResponse{Header: head, WatchId: watch.id}); err != nil {
			return err
		}
	}
	return nil
}
