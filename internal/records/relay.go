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

// pushParallel bounds the pushes that a relay has on their way.
const pushParallel = 16

// sleep reports false if the context ended first.
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

// relayLoop follows the store while this host is a relay.
func (r *Runner) relayLoop(ctx context.Context) {
	for sleep(ctx, r.o.RelayInterval) {
		if r.o.Relay() {
			r.serveRelay(ctx)
		}
	}
}

// serveRelay follows the store until this host is no relay anymore.
func (r *Runner) serveRelay(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if err := r.follow(ctx); ctx.Err() == nil {
				r.o.Log.Debug("watch ended", zap.Error(err))
			}
			sleep(ctx, hurryInterval)
		}
	}()
	for sleep(ctx, r.o.RelayInterval) && r.o.Relay() {
		continue
	}
	cancel()
	<-done
}

// follow applies the changes of the store from the present revision on. It
// reads the whole state only if there is none yet or the store does not keep
// the changes since.
func (r *Runner) follow(ctx context.Context) error {
	r.mu.Lock()
	from := r.replica.Revision()
	r.mu.Unlock()
	if from == 0 {
		var err error
		if from, err = r.adoptFromStore(ctx); err != nil {
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
			_, err := r.adoptFromStore(ctx)
			return err
		case u.Err != nil:
			return u.Err
		case len(u.Events) > 0:
			c := changeOf(from, u)
			from = u.Revision
			r.update("watched", func(replica *revision.Replica[*Set, []Record]) { replica.Apply(c) })
			go r.push(ctx, c)
		case !u.Asked.IsZero():
			r.update("confirmed by the store", func(replica *revision.Replica[*Set, []Record]) {
				replica.ConfirmByStore(time.Now(), u.Asked)
			})
		}
	}
	return ctx.Err()
}

// adoptFromStore reads the whole state.
func (r *Runner) adoptFromStore(ctx context.Context) (int64, error) {
	asked := time.Now()
	s, err := load(ctx, r.o.Store)
	if err != nil {
		return 0, err
	}
	r.update("read from the store", func(replica *revision.Replica[*Set, []Record]) {
		replica.Adopt(s.revision, s.set)
		replica.ConfirmByStore(time.Now(), asked)
	})
	return s.revision, nil
}

// changeOf converts the changes of one revision. A value that cannot be read
// becomes a record that the snapshot leaves out.
func changeOf(previous int64, u platform.WatchUpdate) revision.Change[[]Record] {
	c := revision.Change[[]Record]{Previous: previous, Revision: u.Revision}
	for _, event := range u.Events {
		if !strings.HasPrefix(event.Key, Prefix) {
			continue
		}
		record, _ := fromStore(event.KeyValue, event.Deleted)
		c.Body = append(c.Body, record)
	}
	return c
}

// push delivers a change to this relay's part of the domain. The live relays
// divide the hosts by their order; lost pushes are made up for by Fetch.
func (r *Runner) push(ctx context.Context, c revision.Change[[]Record]) {
	request := &peerv1.PushRequest{
		Sender:  r.o.Identity.Sender(),
		Changes: []*peerv1.Change{changeMessage(c)},
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
	slots := make(chan struct{}, pushParallel)
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
				r.o.Log.Debug("push failed", zap.String(logging.FieldPeer, m.Host), zap.Error(err))
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
