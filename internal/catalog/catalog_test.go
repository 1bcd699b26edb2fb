package catalog

import (
	"context"
	"encoding/json"
	"math"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

// testLayout stores configurations and servers as plain JSON.
func testLayout() Layout {
	return Layout{
		OperatorPrefix: "c/", ConfigKey: "c/config", EvacuationPrefix: "c/evacuated/", ServerPrefix: "s/",
		DecodeConfig: func(value []byte) (*Config, error) {
			c := &Config{}
			return c, json.Unmarshal(value, c)
		},
		DecodeServer: func(id string, value []byte) (Server, error) {
			s := Server{}
			err := json.Unmarshal(value, &s)
			s.ID = id
			return s, err
		},
	}
}

var _ = Describe("Follower", func() {
	var memory *platformtest.Memory
	var follower *Follower
	ctx := context.Background()

	put := func(key string, value any) {
		data, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		_, err = memory.Txn(ctx, platform.Txn{Puts: []platform.Put{{Key: key, Value: data}}})
		Expect(err).NotTo(HaveOccurred())
	}
	remove := func(key string) {
		_, err := memory.Txn(ctx, platform.Txn{Deletes: []string{key}})
		Expect(err).NotTo(HaveOccurred())
	}
	version := func() int64 {
		if c := follower.Snapshot().Config; c != nil {
			return c.Version
		}
		return 0
	}
	BeforeEach(func() {
		memory = platformtest.NewMemory(nil)
		follower = NewFollower(memory, testLayout(), func() time.Duration { return time.Second }, zap.NewNop())
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	})

	// Guards against a configuration that goes back when an old value is read.
	It("never goes back in version", func() {
		put("c/config", Config{Version: 7})
		Eventually(version).Should(Equal(int64(7)))
		put("c/config", Config{Version: 5})
		put("s/i1", Server{Service: "x"})
		Eventually(func() int { return len(follower.Snapshot().Servers) }).Should(Equal(1))
		Consistently(version, 100*time.Millisecond).Should(Equal(int64(7)))
	})

	// Guards against a host that answers as if it knew all when it has read the
	// servers but no configuration: a holder crashed on that after a restart.
	It("is not complete before every part was read", func() {
		put("s/i1", Server{Service: "x"})
		Eventually(func() int { return len(follower.Snapshot().Servers) }).Should(Equal(1))
		Expect(follower.Snapshot().Complete).To(BeFalse())
		Expect(follower.Snapshot().Service("x")).To(BeNil())
		put("c/config", Config{Version: 1, Services: map[string]*Service{"x": {Name: "x"}}})
		Eventually(func() bool { return follower.Snapshot().Complete }).Should(BeTrue())
		Expect(follower.Snapshot().Service("x")).NotTo(BeNil())
	})

	// Guards against changes that are missed when the history is dropped.
	It("reads everything again after the history was compacted", func() {
		put("c/config", Config{Version: 1})
		Eventually(version).Should(Equal(int64(1)))
		memory.SetFault(platformtest.Fault{Err: platform.ErrUnavailable})
		time.Sleep(50 * time.Millisecond)
		memory.SetFault(platformtest.Fault{})
		put("c/config", Config{Version: 2})
		put("c/evacuated/d1", struct{}{})
		memory.Compact(1 << 30)
		Eventually(version).Should(Equal(int64(2)))
		Eventually(func() bool { return follower.Snapshot().Evacuated["d1"] }).Should(BeTrue())
		memory.Compact(0)
		remove("c/evacuated/d1")
		Eventually(func() bool { return follower.Snapshot().Evacuated["d1"] }, 3*time.Second).Should(BeFalse())
	})

	// Guards against a full read of the catalog by every host after each watch
	// that fails: the configuration is large and the store counts each call.
	It("goes on from the last change after a watch that failed", func() {
		put("c/config", Config{Version: 1})
		put("s/i1", Server{Service: "x"})
		Eventually(func() bool { return follower.Snapshot().Complete }).Should(BeTrue())
		memory.SetFault(platformtest.Fault{Err: platform.ErrUnavailable})
		time.Sleep(50 * time.Millisecond)
		memory.SetFault(platformtest.Fault{})
		put("c/config", Config{Version: 2})
		calls := memory.Calls()
		Eventually(version, 3*time.Second).Should(Equal(int64(2)))
		Expect(memory.Calls()).To(Equal(calls))
	})

	// Guards against an unreadable entry of another writer that hides the rest.
	It("leaves out an entry that cannot be read", func() {
		_, err := memory.Txn(ctx, platform.Txn{Puts: []platform.Put{{Key: "s/bad", Value: []byte("{")}}})
		Expect(err).NotTo(HaveOccurred())
		put("s/good", Server{Service: "x"})
		Eventually(func() map[string]*Server { return follower.Snapshot().Servers }).Should(HaveKey("good"))
		Expect(follower.Snapshot().Servers).NotTo(HaveKey("bad"))
	})
})

// deafWatches is a store whose first watches never hear anything, like a
// connection that waited through an outage.
type deafWatches struct {
	*platformtest.Memory
	deaf atomic.Int64
}

func (d *deafWatches) Watch(ctx context.Context, prefix string, from int64) (<-chan platform.WatchUpdate, error) {
	if d.deaf.Add(-1) >= 0 {
		return make(chan platform.WatchUpdate), nil
	}
	return d.Memory.Watch(ctx, prefix, from)
}

var _ = Describe("A watch that hears nothing", func() {
	var store *deafWatches
	var follower *Follower
	var elapsed atomic.Int64
	var first, second int64
	put := func(version int64) (revision int64) {
		value, err := json.Marshal(Config{Version: version})
		Expect(err).NotTo(HaveOccurred())
		revision, err = store.Txn(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "c/config", Value: value}}})
		Expect(err).NotTo(HaveOccurred())
		return revision
	}
	version := func() int64 {
		if c := follower.Snapshot().Config; c != nil {
			return c.Version
		}
		return 0
	}
	BeforeEach(func() {
		store = &deafWatches{Memory: platformtest.NewMemory(nil)}
		store.deaf.Store(prefixCount)
		elapsed.Store(0)
		first = put(1)
		follower = NewFollower(store, testLayout(), func() time.Duration { return time.Second }, zap.NewNop())
		follower.now = func() time.Time { return time.Now().Add(time.Duration(elapsed.Load())) }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(func() int64 { return store.deaf.Load() }).Should(BeZero())
		second = put(2)
		Consistently(version, 100*time.Millisecond).Should(Equal(int64(1)))
	})

	// Guards against a host that stays behind after an outage until its long
	// watch ends.
	It("is opened again when the store was found back", func() {
		follower.Resync()
		Eventually(version).Should(Equal(int64(2)))
	})

	// Guards against a host that stays behind although the others know more: a
	// withdrawn key was accepted for 5.7 s.
	It("is opened again when another host knows more for a while", func() {
		follower.Hint(Revisions{Operator: second})
		Consistently(version, 100*time.Millisecond).Should(Equal(int64(1)))
		elapsed.Store(int64(hintGrace))
		follower.Hint(Revisions{Operator: second})
		Eventually(version).Should(Equal(int64(2)))
	})

	// Guards against a host that misses a change for good: its watch ended while
	// the store passed over the change, at a later revision. A withdrawn key was
	// accepted for 5.6 s although the other hosts knew better.
	It("reads again although a watch went past the change", func() {
		follower.operator.noteUpdate(&platform.WatchUpdate{Revision: second})
		follower.Hint(Revisions{Operator: second})
		elapsed.Store(int64(hintGrace))
		follower.Hint(Revisions{Operator: second})
		Eventually(version).Should(Equal(int64(2)))
	})

	// Guards against a host that never catches up: its slow link took longer for
	// the missed changes than the time between two hints, each of which ended the
	// watch. It handled requests as an older configuration for 5 s.
	It("makes progress while hints keep coming", func() {
		store.deaf.Store(math.MaxInt64)
		hinting, stop := context.WithCancel(context.Background())
		defer stop()
		go func() {
			for hinting.Err() == nil {
				elapsed.Add(int64(hintGrace))
				follower.Hint(Revisions{Operator: second})
				time.Sleep(20 * time.Millisecond)
			}
		}()
		Eventually(version).Should(Equal(int64(2)))
	})

	// Guards against a host that nobody tells anything, because it has no callers.
	It("is opened again when no other host confirms what is known", func() {
		elapsed.Store(int64(maxSilence + time.Second))
		Eventually(version, 2*time.Second).Should(Equal(int64(2)))
	})

	// Guards against store calls of hosts that others keep up to date.
	It("stays open while other hosts confirm what is known", func() {
		elapsed.Store(int64(maxSilence + time.Second))
		follower.Hint(Revisions{Operator: first})
		Consistently(version, 2*checkInterval).Should(Equal(int64(1)))
	})
})

var _ = Describe("view", func() {
	const drainTime = 7 * time.Second
	now := time.Now()

	// Guards against work for a primary that announced its leaving long ago and
	// that no promotion has replaced because orders are lost.
	It("knows until when a draining server may get work", func() {
		v := newView()
		v.putServer(Server{ID: "i1", Service: "x", Revision: 1}, drainTime, now)
		Expect(v.servers["i1"].Drained(now)).To(BeFalse())
		v.putServer(Server{ID: "i1", Service: "x", Revision: 2, Draining: true}, drainTime, now)
		later := now.Add(4 * time.Second)
		v.putServer(Server{ID: "i1", Service: "x", Revision: 3, Draining: true, Role: Primary}, drainTime, later)
		Expect(v.servers["i1"].Drained(later)).To(BeFalse())
		Expect(v.servers["i1"].Drained(now.Add(drainTime))).To(BeTrue())
		v.putServer(Server{ID: "i2", Service: "x", Revision: 4, Draining: true}, drainTime, now)
		Expect(v.servers["i2"].Drained(now)).To(BeTrue())
	})

	// Guards against servers that are dropped because the store was away.
	It("keeps a server whose entry lapsed for the grace time", func() {
		v := newView()
		v.putServer(Server{ID: "i1", Service: "x", Revision: 1}, drainTime, now)
		v.lapseServer("i1", now)
		Expect(v.expire(now.Add(LapseGrace - time.Millisecond))).To(BeFalse())
		Expect(v.snapshot().Servers).To(HaveKey("i1"))
		Expect(v.expire(now.Add(LapseGrace))).To(BeTrue())
		Expect(v.snapshot().Servers).NotTo(HaveKey("i1"))
	})

	// Guards against new work for a server that said that it leaves.
	It("removes a draining server at once", func() {
		v := newView()
		v.putServer(Server{ID: "i1", Service: "x", Revision: 1, Draining: true}, drainTime, now)
		v.lapseServer("i1", now)
		Expect(v.snapshot().Servers).NotTo(HaveKey("i1"))
	})

	// Guards against an old primary that is chosen because it wrote its entry
	// again for another reason than its role.
	It("takes the server that took the role last as primary", func() {
		v := newView()
		v.putServer(Server{ID: "old", Service: "x", Role: Primary, Revision: 1}, drainTime, now)
		v.putServer(Server{ID: "new", Service: "x", Role: Replica, Revision: 2}, drainTime, now)
		v.putServer(Server{ID: "new", Service: "x", Role: Primary, Revision: 3}, drainTime, now)
		v.putServer(Server{ID: "old", Service: "x", Role: Primary, Revision: 4, Draining: true}, drainTime, now)
		Expect(v.snapshot().Primary("x").ID).To(Equal("new"))
	})
})
