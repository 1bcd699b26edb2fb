// Package standin is an in-memory stand-in for the platform's key-value store. It
// implements the subset of the etcd v3 protocol that bramleylever uses, with fault
// injection for tests and demonstrations.
//
// Invariant: every change increases the revision by one, and a watch delivers the
// changes in the order of their revisions.
package standin

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
)

// Errors with the same codes and messages as those of etcd.
var (
	errCompacted      = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	errFutureRevision = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
	errLeaseNotFound  = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errLeaseExists    = status.Error(codes.FailedPrecondition, "etcdserver: lease already exists")
	errEmptyKey       = status.Error(codes.InvalidArgument, "etcdserver: key is not provided")
	errDuplicateKey   = status.Error(codes.InvalidArgument, "etcdserver: duplicate key given in txn request")
	errTooLarge       = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
)

// maxRequestBytes is etcd's default limit of a request: 1.5 MiB.
const maxRequestBytes = 3 << 19

// change is the list of events of one revision.
type change struct {
	revision int64
	at       time.Time
	events   []*mvccpb.Event
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// engine holds the keys, their history and the leases.
type engine struct {
	now func() time.Time

	mu        sync.Mutex
	revision  int64
	compacted int64
	keys      map[string]*mvccpb.KeyValue
	history   []change
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
}

func newEngine(now func() time.Time) *engine {
	return &engine{
		now:       now,
		revision:  1,
		keys:      map[string]*mvccpb.KeyValue{},
		leases:    map[int64]*lease{},
		nextLease: 1000,
		changed:   make(chan struct{}),
	}
}

// inRange reports whether a key is in a range of the protocol: an empty end means
// only the key first, and an end of "\x00" means all keys starting at first.
func inRange(key string, first, end []byte) bool {
	switch {
	case len(end) == 0:
		return key == string(first)
	case bytes.Equal(end, []byte{0}):
		return key >= string(first)
	default:
		return key >= string(first) && key < string(end)
	}
}

func (e *engine) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: e.revision}
}

// read runs a range request. The caller holds the lock.
func (e *engine) read(r *pb.RangeRequest) (*pb.RangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, errEmptyKey
	}
	state := e.keys
	if r.Revision > 0 && r.Revision != e.revision {
		if r.Revision > e.revision {
			return nil, errFutureRevision
		}
		if r.Revision < e.compacted {
			return nil, errCompacted
		}
		state = e.stateAt(r.Revision)
	}
	out := &pb.RangeResponse{Header: e.header()}
	for key, kv := range state {
		if inRange(key, r.Key, r.RangeEnd) {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	slices.SortFunc(out.Kvs, func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	out.Count = int64(len(out.Kvs))
	if r.Limit > 0 && out.Count > r.Limit {
		out.Kvs, out.More = out.Kvs[:r.Limit], true
	}
	if r.CountOnly {
		out.Kvs = nil
	}
	if r.KeysOnly {
		for i, kv := range out.Kvs {
			keyOnly := proto.Clone(kv).(*mvccpb.KeyValue)
			keyOnly.Value = nil
			out.Kvs[i] = keyOnly
		}
	}
	return out, nil
}

// stateAt returns the keys as of a revision by undoing the later changes with the
// previous values in their events.
func (e *engine) stateAt(revision int64) map[string]*mvccpb.KeyValue {
	state := make(map[string]*mvccpb.KeyValue, len(e.keys))
	for key, kv := range e.keys {
		state[key] = kv
	}
	for _, c := range slices.Backward(e.history) {
		if c.revision <= revision {
			break
		}
		for _, event := range slices.Backward(c.events) {
			if event.PrevKv == nil {
				delete(state, string(event.Kv.Key))
			} else {
				state[string(event.Kv.Key)] = event.PrevKv
			}
		}
	}
	return state
}

// commit appends the events as one revision and wakes the watches.
func (e *engine) commit(events []*mvccpb.Event) {
	if len(events) == 0 {
		return
	}
	e.revision++
	for _, event := range events {
		event.Kv.ModRevision = e.revision
		if event.Type == mvccpb.Event_PUT && event.Kv.Version == 1 {
			event.Kv.CreateRevision = e.revision
		}
	}
	e.history = append(e.history, change{revision: e.revision, at: e.now(), events: events})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *engine) put(r *pb.PutRequest) *mvccpb.Event {
	key := string(r.Key)
	previous := e.keys[key]
	kv := &mvccpb.KeyValue{Key: r.Key, Value: r.Value, Lease: r.Lease, Version: 1}
	if previous != nil {
		kv.Version = previous.Version + 1
		kv.CreateRevision = previous.CreateRevision
		e.detachFromLease(previous)
	}
	if l := e.leases[r.Lease]; l != nil {
		l.keys[key] = struct{}{}
	}
	e.keys[key] = kv
	return &mvccpb.Event{Type: mvccpb.Event_PUT, Kv: kv, PrevKv: previous}
}

func (e *engine) deleteKey(key string) *mvccpb.Event {
	previous := e.keys[key]
	if previous == nil {
		return nil
	}
	delete(e.keys, key)
	e.detachFromLease(previous)
	return &mvccpb.Event{
		Type:   mvccpb.Event_DELETE,
		Kv:     &mvccpb.KeyValue{Key: []byte(key)},
		PrevKv: previous,
	}
}

// detachFromLease removes a key from the lease that it is attached to, if any.
func (e *engine) detachFromLease(kv *mvccpb.KeyValue) {
	if l := e.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// keysInRange returns the keys in a range in ascending order.
func (e *engine) keysInRange(first, end []byte) []string {
	var keys []string
	for key := range e.keys {
		if inRange(key, first, end) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// grant creates a lease with a TTL of at least one second; an ID of 0 lets the store
// choose one.
func (e *engine) grant(id, seconds int64) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == 0 {
		e.nextLease++
		id = e.nextLease
	}
	if e.leases[id] != nil {
		return 0, errLeaseExists
	}
	ttl := time.Duration(max(seconds, 1)) * time.Second
	e.leases[id] = &lease{ttl: ttl, expires: e.now().Add(ttl), keys: map[string]struct{}{}}
	return id, nil
}

// keepAlive renews a lease and returns its TTL in seconds, or 0 if the lease does
// not exist.
func (e *engine) keepAlive(id int64) int64 {
	e.expire()
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.leases[id]
	if l == nil {
		return 0
	}
	l.expires = e.now().Add(l.ttl)
	return int64(l.ttl / time.Second)
}

func (e *engine) revoke(id int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leases[id] == nil {
		return errLeaseNotFound
	}
	e.deleteLease(id)
	return nil
}

// deleteLease deletes a lease and its keys as one revision.
func (e *engine) deleteLease(id int64) {
	keys := make([]string, 0, len(e.leases[id].keys))
	for key := range e.leases[id].keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var events []*mvccpb.Event
	for _, key := range keys {
		if event := e.deleteKey(key); event != nil {
			events = append(events, event)
		}
	}
	delete(e.leases, id)
	e.commit(events)
}

// expire deletes the leases that have expired by the stand-in's clock.
func (e *engine) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var expired []int64
	for id, l := range e.leases {
		if !now.Before(l.expires) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		e.deleteLease(id)
	}
}

// compact discards the history up to and including a revision.
func (e *engine) compact(revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compacted = max(e.compacted, min(revision, e.revision))
	e.history = slices.DeleteFunc(e.history, func(c change) bool { return c.revision <= e.compacted })
}

// nextChange returns a channel that is closed on the next change.
func (e *engine) nextChange() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// changesSince returns the changes of a range since a revision, and the current
// revision. If the start is compacted, it returns an error and the revision up to
// which the history was compacted.
func (e *engine) changesSince(first, end []byte, from int64) ([]change, int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from <= e.compacted {
		return nil, e.compacted, errCompacted
	}
	start, _ := slices.BinarySearchFunc(e.history, from, func(c change, revision int64) int {
		return cmp.Compare(c.revision, revision)
	})
	var out []change
	for _, c := range e.history[start:] {
		matching := change{revision: c.revision}
		for _, event := range c.events {
			if inRange(string(event.Kv.Key), first, end) {
				matching.events = append(matching.events, event)
			}
		}
		if len(matching.events) > 0 {
			out = append(out, matching)
		}
	}
	return out, e.revision, nil
}
