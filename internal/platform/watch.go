package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
)

// maxIdleIntervals is the number of progress intervals without any message, on
// top of the call timeout, after which a watch counts as broken.
const maxIdleIntervals = 4

// progressRequests records when the pending progress requests were sent. The store
// may leave a request unanswered, so each response is matched with the oldest
// pending request. RequestedAt is then too old at worst, never too recent.
type progressRequests struct {
	mu      sync.Mutex
	pending []time.Time
}

func (p *progressRequests) add(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, now)
}

func (p *progressRequests) takeOldest() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return time.Time{}
	}
	oldest := p.pending[0]
	p.pending = p.pending[1:]
	return oldest
}

func (c *client) Watch(callerCtx context.Context, prefix string, from int64) (<-chan WatchUpdate, error) {
	ctx, cancel := context.WithCancel(callerCtx)
	idleTimer := time.AfterFunc(maxIdleIntervals*c.progressInterval+c.timeout, cancel)
	stream, err := c.watch.Watch(ctx)
	if err == nil {
		err = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{
			CreateRequest: &pb.WatchCreateRequest{
				Key: rangeStart(prefix), RangeEnd: rangeEnd(prefix), StartRevision: from,
			},
		}})
	}
	if err != nil {
		idleTimer.Stop()
		cancel()
		return nil, readError("watch "+prefix, err)
	}
	w := &watcher{client: c, stream: stream, idleTimer: idleTimer, out: make(chan WatchUpdate)}
	go w.requestProgress(ctx)
	go func() {
		defer cancel()
		defer idleTimer.Stop()
		defer close(w.out)
		err := w.run(ctx)
		// The idle timer cancels only the stream's context, not the caller's, so
		// the error still reaches the caller.
		select {
		case w.out <- WatchUpdate{Err: fmt.Errorf("watch %s: %w", prefix, err)}:
		case <-callerCtx.Done():
		}
	}()
	return w.out, nil
}

type watcher struct {
	client    *client
	stream    pb.Watch_WatchClient
	idleTimer *time.Timer
	requests  progressRequests
	out       chan WatchUpdate
}

// requestProgress sends progress requests until the stream ends.
func (w *watcher) requestProgress(ctx context.Context) {
	ticker := time.NewTicker(w.client.progressInterval)
	defer ticker.Stop()
	for {
		w.requests.add(time.Now())
		err := w.stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{
			ProgressRequest: &pb.WatchProgressRequest{},
		}})
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// run delivers updates until the watch ends and returns why it ended.
func (w *watcher) run(ctx context.Context) error {
	for {
		w.idleTimer.Reset(maxIdleIntervals*w.client.progressInterval + w.client.timeout)
		r, err := w.stream.Recv()
		w.idleTimer.Stop()
		if err != nil {
			return readError("receive", err)
		}
		if r.Canceled {
			if r.CompactRevision > 0 {
				return fmt.Errorf("compacted up to revision %d: %w", r.CompactRevision, ErrCompacted)
			}
			return fmt.Errorf("canceled by the store (%s): %w", r.CancelReason, ErrUnavailable)
		}
		for _, update := range w.updates(r) {
			select {
			case w.out <- update:
			case <-ctx.Done():
				return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
			}
		}
	}
}

// updates converts a message to one update for each revision; the store may put
// several revisions into one message.
func (w *watcher) updates(r *pb.WatchResponse) []WatchUpdate {
	w.client.observe(r.GetHeader())
	if r.Created {
		return nil
	}
	if len(r.Events) == 0 {
		update := WatchUpdate{Revision: r.GetHeader().GetRevision()}
		if r.WatchId == -1 {
			update.RequestedAt = w.requests.takeOldest()
		}
		return []WatchUpdate{update}
	}
	var out []WatchUpdate
	for _, event := range r.Events {
		kv := keyValue(event.GetKv())
		if len(out) == 0 || out[len(out)-1].Revision != kv.ModRevision {
			out = append(out, WatchUpdate{Revision: kv.ModRevision})
		}
		last := &out[len(out)-1]
		last.Events = append(last.Events, Event{KeyValue: kv, Deleted: event.GetType() == mvccpb.Event_DELETE})
	}
	return out
}
