package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
)

// watchSilence is the number of progress intervals without any message after
// which a watch counts as broken.
const watchSilence = 4

// progressAsker remembers when progress was asked for. The service may leave a
// request unanswered, so an answer is credited to the oldest open request; that
// makes a confirmation look older, never younger.
type progressAsker struct {
	mu    sync.Mutex
	asked []time.Time
}

func (p *progressAsker) ask(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, now)
}

func (p *progressAsker) answered() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.asked) == 0 {
		return time.Time{}
	}
	oldest := p.asked[0]
	p.asked = p.asked[1:]
	return oldest
}

func (c *client) Watch(caller context.Context, prefix string, from int64) (<-chan WatchUpdate, error) {
	ctx, cancel := context.WithCancel(caller)
	silence := time.AfterFunc(watchSilence*c.progress+c.timeout, cancel)
	stream, err := c.watch.Watch(ctx)
	if err == nil {
		err = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{
			CreateRequest: &pb.WatchCreateRequest{
				Key: rangeStart(prefix), RangeEnd: rangeEnd(prefix), StartRevision: from,
			},
		}})
	}
	if err != nil {
		silence.Stop()
		cancel()
		return nil, readError("watch "+prefix, err)
	}
	w := &watcher{client: c, stream: stream, silence: silence, out: make(chan WatchUpdate)}
	go w.askForProgress(ctx)
	go func() {
		defer cancel()
		defer silence.Stop()
		defer close(w.out)
		err := w.run(ctx)
		// The silence timer ends only the stream, so the reason still reaches
		// the caller.
		select {
		case w.out <- WatchUpdate{Err: fmt.Errorf("watch %s: %w", prefix, err)}:
		case <-caller.Done():
		}
	}()
	return w.out, nil
}

type watcher struct {
	client  *client
	stream  pb.Watch_WatchClient
	silence *time.Timer
	asker   progressAsker
	out     chan WatchUpdate
}

// askForProgress sends progress requests until the stream ends.
func (w *watcher) askForProgress(ctx context.Context) {
	ticker := time.NewTicker(w.client.progress)
	defer ticker.Stop()
	for {
		w.asker.ask(time.Now())
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

// run delivers messages until the watch ends, and returns the reason.
func (w *watcher) run(ctx context.Context) error {
	for {
		w.silence.Reset(watchSilence*w.client.progress + w.client.timeout)
		r, err := w.stream.Recv()
		w.silence.Stop()
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

// updates converts a message; the service may put several revisions into one.
func (w *watcher) updates(r *pb.WatchResponse) []WatchUpdate {
	if r.Created {
		return nil
	}
	if len(r.Events) == 0 {
		update := WatchUpdate{Revision: r.GetHeader().GetRevision()}
		if r.WatchId == -1 {
			update.RequestedAt = w.asker.answered()
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
