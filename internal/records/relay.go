package records

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/revision"
)

// maxParallelPushes bounds the concurrent calls with which a relay pushes a change.
const maxParallelPushes = 16

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// relayLoop watches the store whenever this host is a relay, until the context
// ends.
func (r *Runner) relayLoop(ctx context.Context) {
	for sleep(ctx, r.o.RelayInterval) {
		if r.o.Relay() {
			r.followWhileRelay(ctx)
		}
	}
}

// followWhileRelay watches the store until this host is no longer a relay.
func (r *Runner) followWhileRelay(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if err := r.watchStore(ctx); ctx.Err() == nil {
				r.o.Log.Debug("watch of the store ended; watching again", zap.Error(err))
			}
			sleep(ctx, retryInterval)
		}
	}()
	for sleep(ctx, r.o.RelayInterval) && r.o.Relay() {
		continue
	}
	cancel()
	<-done
}

// watchStore applies the changes that the store commits after the replica's
// revision, and pushes them to other hosts. It reads the whole state only if the
// replica has none yet or the store has compacted those changes.
func (r *Runner) watchStore(ctx context.Context) error {
	r.mu.Lock()
	from := r.replica.Revision()
	r.mu.Unlock()
	if from == 0 {
		var err error
		if from, err = r.loadFromStore(ctx); err != nil {
			return err
		}
	}
	updates, err := r.o.Store.Watch(ctx, Prefix, from+1)
	if err != nil {
		return err
	}
	for u := range updates {
		switch {
		case errors.Is(u.Err, platform.ErrCompacted):
			_, err := r.loadFromStore(ctx)
			return err
		case u.Err != nil:
			return u.Err
		case len(u.Events) > 0:
			c := changeFromUpdate(from, u)
			from = u.Revision
			r.updateReplica("watched", func(replica *revision.Replica[*Set, []Record]) { replica.Apply(c) })
			go r.push(ctx, c)
		case !u.RequestedAt.IsZero():
			r.updateReplica("confirmed by the store", func(replica *revision.Replica[*Set, []Record]) {
				replica.ConfirmByStore(time.Now(), u.RequestedAt)
			})
		}
	}
	return ctx.Err()
}

// loadFromStore replaces the replica's state with the whole state of the store.
func (r *Runner) loadFromStore(ctx context.Context) (int64, error) {
	requestedAt := time.Now()
	s, err := loadState(ctx, r.o.Store)
	if err != nil {
		return 0, err
	}
	r.updateReplica("read from the store", func(replica *revision.Replica[*Set, []Record]) {
		replica.Adopt(s.revision, s.set)
		replica.ConfirmByStore(time.Now(), requestedAt)
	})
	return s.revision, nil
}

// changeFromUpdate converts the events of one revision to a change. A value that
// cannot be decoded becomes a record that the snapshot omits.
func changeFromUpdate(previous int64, u platform.WatchUpdate) revision.Change[[]Record] {
	c := revision.Change[[]Record]{Previous: previous, Revision: u.Revision}
	for _, event := range u.Events {
		if !strings.HasPrefix(event.Key, Prefix) {
			continue
		}
		record, _ := recordFromStore(event.KeyValue, event.Deleted)
		c.Body = append(c.Body, record)
	}
	return c
}

// push sends a change to this relay's part of the hosts of its domain. The live
// relays divide the hosts in the order of the host names. A host that misses a push
// gets the change with its next Fetch.
func (r *Runner) push(ctx context.Context, c revision.Change[[]Record]) {
	request := &peerv1.PushRequest{
		Sender:  r.o.Identity.Sender(),
		Changes: []*peerv1.Change{changeToProto(c)},
	}
	members := membership.LiveIn(r.o.View, r.o.Identity.Domain)
	relays, rank := 1, 0
	for _, m := range members {
		if m.Relay && m.Host != r.o.Identity.Host {
			relays++
			if m.Host < r.o.Identity.Host {
				rank++
			}
		}
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxParallelPushes)
	for i, m := range members {
		if m.Host == r.o.Identity.Host || i%relays != rank {
			continue
		}
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			if err := r.pushTo(ctx, m.Address, request); err != nil {
				r.o.Log.Debug("pushing a change to a host failed", zap.String(logging.FieldPeer, m.Host), zap.Error(err))
			}
		}()
	}
	wait.Wait()
}

func (r *Runner) pushTo(ctx context.Context, address string, request *peerv1.PushRequest) error {
	conn, err := r.o.Pool.Conn(address)
	if err != nil {
		return err
	}
	_, err = peer.Call(ctx, func(ctx context.Context) (*peerv1.PushReply, error) {
		return peerv1.NewRecordsClient(conn).Push(ctx, request)
	})
	return err
}
