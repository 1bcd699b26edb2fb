package standin

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
)

// broadcastWatchID is the watch ID in responses to progress requests, which apply
// to all watches of a stream.
const broadcastWatchID = -1

// watchStream is one client stream and the watches created on it.
type watchStream struct {
	server *Server
	stream pb.Watch_WatchServer

	watches map[int64]*watch
	nextID  int64
}

type watch struct {
	id             int64
	first, end     []byte
	nextRevision   int64
	progressNotify bool
	prevKV         bool
}

// Watch serves one stream. A single goroutine sends the changes of all its watches,
// so the response to a progress request comes after every change that it covers.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	w := &watchStream{server: s, stream: stream, watches: map[int64]*watch{}}
	requests := make(chan *pb.WatchRequest)
	recvErr := make(chan error, 1)
	go func() {
		for {
			r, err := stream.Recv()
			if err != nil {
				recvErr <- err
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
		case err := <-recvErr:
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
		return w.stream.Send(&pb.WatchResponse{Header: w.deliveredHeader(), WatchId: broadcastWatchID})
	default:
		return status.Error(codes.InvalidArgument, "etcdserver: watch request of unknown type")
	}
}

// deliveredHeader returns a header with the revision up to which the changes of all
// watches were delivered.
func (w *watchStream) deliveredHeader() *pb.ResponseHeader {
	header := w.server.responseHeader()
	for _, watch := range w.watches {
		header.Revision = min(header.Revision, watch.nextRevision-1)
	}
	return header
}

func (w *watchStream) create(r *pb.WatchCreateRequest) error {
	w.server.calls.add(w.stream.Context(), CallWatch)
	if err := w.server.faults.applyToRequest(w.stream.Context()); err != nil {
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
	header := w.server.responseHeader()
	from := r.StartRevision
	if from == 0 {
		from = header.Revision + 1
	}
	w.watches[id] = &watch{
		id: id, first: r.Key, end: r.RangeEnd, nextRevision: from,
		progressNotify: r.ProgressNotify, prevKV: r.PrevKv,
	}
	return w.stream.Send(&pb.WatchResponse{Header: header, WatchId: id, Created: true})
}

func (w *watchStream) cancel(watchID, compacted int64, reason string) error {
	if w.watches[watchID] == nil {
		return nil
	}
	delete(w.watches, watchID)
	return w.stream.Send(&pb.WatchResponse{
		Header: w.server.responseHeader(), WatchId: watchID, Canceled: true,
		CompactRevision: compacted, CancelReason: reason,
	})
}

// deliver sends the pending changes of all watches, one message for each revision.
// It returns a channel that is closed on the next change.
func (w *watchStream) deliver() (<-chan struct{}, error) {
	changed := w.server.engine.nextChange()
	for _, watch := range w.watches {
		changes, current, err := w.server.engine.changesSince(watch.first, watch.end, watch.nextRevision)
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
		watch.nextRevision = max(watch.nextRevision, current+1)
	}
	return changed, nil
}

func (w *watchStream) send(watch *watch, c change) error {
	header := w.server.responseHeader()
	header.Revision = c.revision
	events := make([]*mvccpb.Event, 0, len(c.events))
	for _, event := range c.events {
		sent := &mvccpb.Event{Type: event.Type, Kv: event.Kv}
		if watch.prevKV {
			sent.PrevKv = event.PrevKv
		}
		events = append(events, sent)
	}
	return w.stream.Send(&pb.WatchResponse{Header: header, WatchId: watch.id, Events: events})
}

// sendProgress sends a progress notification to each watch created with ProgressNotify.
func (w *watchStream) sendProgress() error {
	for _, watch := range w.watches {
		if !watch.progressNotify {
			continue
		}
		header := w.server.responseHeader()
		header.Revision = min(header.Revision, watch.nextRevision-1)
		if err := w.stream.Send(&pb.WatchResponse{Header: header, WatchId: watch.id}); err != nil {
			return err
		}
	}
	return nil
}
