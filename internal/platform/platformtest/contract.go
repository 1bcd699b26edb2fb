// Package platformtest provides the contract suite that every implementation of
// platform.Store must pass, and an in-memory implementation for tests.
package platformtest

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // Ginkgo specs use dot imports
	. "github.com/onsi/gomega"    //nolint:staticcheck // Ginkgo specs use dot imports

	"github.com/bramleylever/bramleylever/internal/platform"
)

const (
	// specTimeout limits each spec.
	specTimeout = 20 * time.Second
	// eventTimeout limits the wait for one watch update or one lease expiry.
	eventTimeout = 5 * time.Second
)

// Harness gives the suite access to the store under test.
type Harness struct {
	// Open returns a store. It need not be empty: each spec uses its own key prefix.
	Open func() platform.Store
	// Compact discards the history up to and including a revision.
	Compact func(revision int64)
}

// specCount makes the key prefix of each spec unique.
var specCount int

type contract struct {
	store  platform.Store
	ctx    context.Context
	prefix string
}

func (c *contract) put(key, value string, lease platform.LeaseID) int64 {
	revision, err := c.store.Txn(c.ctx, platform.Txn{
		Puts: []platform.Put{{Key: c.prefix + key, Value: []byte(value), Lease: lease}},
	})
	Expect(err).NotTo(HaveOccurred())
	return revision
}

func (c *contract) get(key string) platform.KeyValue {
	kv, _, err := c.store.Get(c.ctx, c.prefix+key)
	Expect(err).NotTo(HaveOccurred())
	return kv
}

// nextChange returns the next update that has events or an error.
func nextChange(updates <-chan platform.WatchUpdate) platform.WatchUpdate {
	deadline := time.After(eventTimeout)
	for {
		select {
		case u, ok := <-updates:
			Expect(ok).To(BeTrue(), "watch ended")
			if u.Err != nil || len(u.Events) > 0 {
				return u
			}
		case <-deadline:
			Fail("no watch update in time")
		}
	}
}

// DescribeStore registers the contract suite for one implementation.
func DescribeStore(name string, h *Harness) bool {
	return Describe("platform.Store contract: "+name, func() {
		c := &contract{}
		BeforeEach(func() {
			specCount++
			c.prefix = fmt.Sprintf("/contract/%d/", specCount)
			c.store = h.Open()
			ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
			c.ctx = ctx
			DeferCleanup(func() {
				cancel()
				Expect(c.store.Close()).To(Succeed())
			})
		})
		c.describeKeys()
		c.describeLeases()
		c.describeWatches(h)
	})
}

func (c *contract) describeKeys() {
	// Guards against an absent key being mistaken for a key with an empty value.
	It("returns mod revision 0 and the store's revision for an absent key", func() {
		kv, revision, err := c.store.Get(c.ctx, c.prefix+"absent")
		Expect(err).NotTo(HaveOccurred())
		Expect(kv.ModRevision).To(BeZero())
		Expect(kv.Key).To(Equal(c.prefix + "absent"))
		Expect(revision).To(BeNumerically(">", 0))
	})

	// Guards against a transaction that is split into several revisions.
	It("writes all keys of a transaction in one revision", func() {
		c.put("old", "x", 0)
		revision, err := c.store.Txn(c.ctx, platform.Txn{
			Puts: []platform.Put{
				{Key: c.prefix + "a", Value: []byte("1")},
				{Key: c.prefix + "b", Value: []byte("2")},
			},
			Deletes: []string{c.prefix + "old"},
		})
		Expect(err).NotTo(HaveOccurred())
		kvs, at, err := c.store.List(c.ctx, c.prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(at).To(BeNumerically(">=", revision))
		Expect(kvs).To(Equal([]platform.KeyValue{
			{Key: c.prefix + "a", Value: []byte("1"), ModRevision: revision},
			{Key: c.prefix + "b", Value: []byte("2"), ModRevision: revision},
		}))
	})

	// Guards against lost updates when two operators change the same key.
	DescribeTable("applies a transaction only if all compares hold",
		func(exists bool, offset int64, conflict bool) {
			revision := int64(0)
			if exists {
				revision = c.put("k", "before", 0)
			}
			_, err := c.store.Txn(c.ctx, platform.Txn{
				Compares: []platform.Compare{{Key: c.prefix + "k", ModRevision: revision + offset}},
				Puts:     []platform.Put{{Key: c.prefix + "k", Value: []byte("after")}},
			})
			if conflict {
				Expect(err).To(MatchError(platform.ErrConflict))
				Expect(string(c.get("k").Value)).NotTo(Equal("after"))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(string(c.get("k").Value)).To(Equal("after"))
		},
		Entry("expected absent and is absent", false, int64(0), false),
		Entry("expected present but is absent", false, int64(1), true),
		Entry("expected revision matches", true, int64(0), false),
		Entry("changed since the expected revision", true, int64(-1), true),
	)

	// Guards against writing a value that the store cannot hold.
	It("rejects a value above the limit and changes nothing", func() {
		_, err := c.store.Txn(c.ctx, platform.Txn{Puts: []platform.Put{
			{Key: c.prefix + "big", Value: make([]byte, platform.MaxValueBytes+1)},
		}})
		Expect(err).To(MatchError(platform.ErrTooLarge))
		Expect(c.get("big").ModRevision).To(BeZero())
	})

	// Guards against a range that includes keys next to those with the prefix.
	It("lists exactly the keys with a prefix", func() {
		for _, key := range []string{"p/1", "p/2", "p0", "o"} {
			c.put(key, key, 0)
		}
		kvs, _, err := c.store.List(c.ctx, c.prefix+"p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(kvs).To(HaveLen(2))
		Expect(kvs[0].Key).To(Equal(c.prefix + "p/1"))
		Expect(kvs[1].Key).To(Equal(c.prefix + "p/2"))
	})
}

func (c *contract) describeLeases() {
	// Guards against keys that outlive a lease holder that crashed.
	It("deletes the keys of a lease that is not renewed", func() {
		id, err := c.store.GrantLease(c.ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		c.put("held", "x", id)
		Expect(c.get("held").Lease).To(Equal(id))
		Eventually(func() int64 { return c.get("held").ModRevision }, eventTimeout).Should(BeZero())
		_, err = c.store.KeepAlive(c.ctx, id)
		Expect(err).To(MatchError(platform.ErrLeaseNotFound))
	})

	// Guards against a lease that expires although its holder renews it.
	It("keeps the keys of a lease that is renewed", func() {
		id, err := c.store.GrantLease(c.ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		c.put("held", "x", id)
		Consistently(func() error {
			ttl, err := c.store.KeepAlive(c.ctx, id)
			if err == nil && ttl != time.Second {
				return fmt.Errorf("TTL is %v", ttl)
			}
			if err == nil && c.get("held").ModRevision == 0 {
				return errors.New("the key was deleted")
			}
			return err
		}, 2*time.Second, 200*time.Millisecond).Should(Succeed())
	})

	// Guards against a bucket that stays taken after its lease holder released it.
	It("deletes the keys of a revoked lease and rejects puts with it", func() {
		id, err := c.store.GrantLease(c.ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		c.put("held", "x", id)
		Expect(c.store.RevokeLease(c.ctx, id)).To(Succeed())
		Expect(c.get("held").ModRevision).To(BeZero())
		_, err = c.store.Txn(c.ctx, platform.Txn{Puts: []platform.Put{
			{Key: c.prefix + "held", Value: []byte("y"), Lease: id},
		}})
		Expect(err).To(MatchError(platform.ErrLeaseNotFound))
		Expect(c.store.RevokeLease(c.ctx, id)).To(MatchError(platform.ErrLeaseNotFound))
	})
}

func (c *contract) describeWatches(h *Harness) {
	// Guards against missing a change that is made between a list and a watch.
	It("delivers every change since a revision in order", func() {
		c.put("k", "0", 0)
		_, revision, err := c.store.List(c.ctx, c.prefix)
		Expect(err).NotTo(HaveOccurred())
		first := c.put("k", "1", 0)
		updates, err := c.store.Watch(c.ctx, c.prefix, revision+1)
		Expect(err).NotTo(HaveOccurred())
		second, err := c.store.Txn(c.ctx, platform.Txn{Deletes: []string{c.prefix + "k"}})
		Expect(err).NotTo(HaveOccurred())

		u := nextChange(updates)
		Expect(u.Revision).To(Equal(first))
		Expect(u.Events).To(HaveLen(1))
		Expect(string(u.Events[0].Value)).To(Equal("1"))
		u = nextChange(updates)
		Expect(u.Revision).To(Equal(second))
		Expect(u.Events[0].Deleted).To(BeTrue())
		Expect(u.Events[0].Key).To(Equal(c.prefix + "k"))
	})

	// Guards against a watcher that sees only part of a transaction.
	It("delivers the changes of one transaction in one update", func() {
		_, revision, err := c.store.Get(c.ctx, c.prefix)
		Expect(err).NotTo(HaveOccurred())
		updates, err := c.store.Watch(c.ctx, c.prefix, revision+1)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.store.Txn(c.ctx, platform.Txn{Puts: []platform.Put{
			{Key: c.prefix + "a", Value: []byte("1")}, {Key: c.prefix + "b", Value: []byte("2")},
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(nextChange(updates).Events).To(HaveLen(2))
	})

	// Guards against a watcher that cannot tell an idle store from a lost connection.
	It("reports progress with the time of the request", func() {
		revision := c.put("other", "x", 0)
		started := time.Now()
		updates, err := c.store.Watch(c.ctx, c.prefix+"quiet/", revision)
		Expect(err).NotTo(HaveOccurred())
		deadline := time.After(eventTimeout)
		for {
			select {
			case u := <-updates:
				Expect(u.Err).NotTo(HaveOccurred())
				if u.RequestedAt.IsZero() {
					continue
				}
				Expect(u.Revision).To(BeNumerically(">=", revision))
				Expect(u.RequestedAt).To(BeTemporally(">=", started))
				Expect(u.RequestedAt).To(BeTemporally("<=", time.Now()))
				return
			case <-deadline:
				Fail("no progress in time")
			}
		}
	})

	// Guards against a watcher that misses compacted changes without an error.
	It("ends a watch from a compacted revision with ErrCompacted", func() {
		first := c.put("k", "1", 0)
		second := c.put("k", "2", 0)
		h.Compact(second)
		updates, err := c.store.Watch(c.ctx, c.prefix, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(nextChange(updates).Err).To(MatchError(platform.ErrCompacted))
		Eventually(updates, eventTimeout).Should(BeClosed())
	})

	// Guards against goroutines and streams that outlive their watch.
	It("closes the channel when the context ends", func() {
		ctx, cancel := context.WithCancel(c.ctx)
		updates, err := c.store.Watch(ctx, c.prefix, 0)
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(func() bool {
			_, open := <-updates
			return open
		}, eventTimeout).Should(BeFalse())
	})
}
