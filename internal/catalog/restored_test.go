package catalog

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

var _ = Describe("Followers of a store that was restored from an older copy", func() {
	var memory *platformtest.Memory
	ctx := context.Background()
	put := func(key string, value any) { putJSON(memory, key, value) }
	remove := func(key string) {
		_, err := memory.Txn(ctx, platform.Txn{Deletes: []string{key}})
		Expect(err).NotTo(HaveOccurred())
	}
	newFollower := func() *Follower {
		f := NewFollower(memory, testLayout(), func() time.Duration { return time.Second }, zap.NewNop())
		f.SetRelaying(Relaying{
			Known: func() bool { return true }, Enabled: func() bool { return true },
			Watches: func() bool { return false }, Isolated: func() bool { return false },
		})
		return f
	}
	read := func(f *Follower) {
		Expect(f.operator.readAll(ctx)).To(Succeed())
		Expect(f.servers.readAll(ctx)).To(Succeed())
	}
	// expire lets time pass and ends what is bridged for that long.
	expire := func(f *Follower, d time.Duration) {
		now := f.now().Add(d)
		f.now = func() time.Time { return now }
		f.mu.Lock()
		defer f.mu.Unlock()
		f.view.expire(now)
		f.expireRestored(now)
		f.publish()
	}
	// exchange passes a part from one follower to another as it goes over the wire.
	exchange := func(p Part, to, from *Follower) {
		reply := updateToProto(from.Since(p, to.Confirmation(p).Revision))
		to.Apply(p, to.updateFromProto(reply))
	}
	BeforeEach(func() {
		memory = platformtest.NewMemory(nil)
		put("c/config", Config{Version: 1})
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 1})
	})

	// Guards against work for a server that has left: the copy shows it as before it
	// announced that it leaves.
	It("do not use a server again that had announced that it leaves", func() {
		f := newFollower()
		read(f)
		older := memory.Copy()
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 4, Draining: true})
		read(f)
		Expect(f.Snapshot().Servers["i1"].Draining).To(BeTrue())
		memory.Restore(older)
		read(f)
		Expect(f.Snapshot().Servers["i1"].Draining).To(BeTrue())
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 5, Draining: true})
		read(f)
		Expect(f.Snapshot().Servers["i1"].Sequence).To(Equal(int64(5)))
	})

	// Guards against the same for a server whose entry was removed in the time that the
	// store has lost.
	It("do not use a server again that had left", func() {
		f := newFollower()
		read(f)
		older := memory.Copy()
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 4, Draining: true})
		read(f)
		remove("s/i1")
		read(f)
		Expect(f.Snapshot().Servers).To(BeEmpty())
		memory.Restore(older)
		read(f)
		Expect(f.Snapshot().Servers).To(BeEmpty())
		read(f)
		Expect(f.Snapshot().Servers).To(BeEmpty())
	})

	// Guards against a primary that is looked for at an instance that lost the role in the
	// time that the store has lost.
	It("do not take an earlier role for a new one", func() {
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 2, Role: Primary})
		put("s/i2", Server{Service: "x", Started: 11, Sequence: 2})
		f := newFollower()
		read(f)
		older := memory.Copy()
		put("s/i2", Server{Service: "x", Started: 11, Sequence: 3, Role: Primary})
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 3})
		read(f)
		memory.Restore(older)
		read(f)
		Expect(f.Snapshot().Primary("x").ID).To(Equal("i2"))
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 5, Role: Primary})
		read(f)
		Expect(f.Snapshot().Primary("x").ID).To(Equal("i1"))
	})

	// Guards against a server that is left out for good because its clock went back before
	// it started again.
	It("use an entry that looks outdated if it stays", func() {
		f := newFollower()
		read(f)
		older := memory.Copy()
		put("s/i1", Server{Service: "x", Started: 12, Sequence: 9, Slots: 9})
		read(f)
		memory.Restore(older)
		read(f)
		Expect(f.Snapshot().Servers["i1"].Slots).To(Equal(9))
		expire(f, outdatedGrace)
		Expect(f.Snapshot().Servers["i1"].Started).To(Equal(int64(10)))
	})

	// Guards against a server that had left and is used after all, because the store has
	// dropped its outdated entry while the host did not watch.
	It("forget an outdated entry that is not there any more", func() {
		f := newFollower()
		read(f)
		older := memory.Copy()
		put("s/i1", Server{Service: "x", Started: 10, Sequence: 4, Draining: true})
		read(f)
		remove("s/i1")
		read(f)
		memory.Restore(older)
		read(f)
		remove("s/i1")
		read(f)
		expire(f, outdatedGrace)
		Expect(f.Snapshot().Servers).To(BeEmpty())
	})

	// Guards against a failure domain that is used again although its evacuation was
	// acknowledged, and against one that stays evacuated although that was taken back.
	It("keep an evacuation until it is written again or stays missing", func() {
		f := newFollower()
		read(f)
		older := memory.Copy()
		put("c/evacuated/d1", struct{}{})
		put("c/evacuated/d2", struct{}{})
		read(f)
		memory.Restore(older)
		read(f)
		read(f)
		Expect(f.Snapshot().Evacuated).To(HaveLen(2))
		put("c/evacuated/d1", struct{}{})
		read(f)
		expire(f, LapseGrace)
		Expect(f.Snapshot().Evacuated).To(Equal(map[string]bool{"d1": true}))
		remove("c/evacuated/d1")
		read(f)
		Expect(f.Snapshot().Evacuated).To(BeEmpty())
	})

	// Guards against a key that is accepted again because the copy holds a configuration
	// from before it was withdrawn.
	It("keep the newer configuration and take the next one", func() {
		f := newFollower()
		read(f)
		older := memory.Copy()
		put("c/config", Config{Version: 4})
		read(f)
		memory.Restore(older)
		read(f)
		Expect(f.Snapshot().Config.Version).To(Equal(int64(4)))
		put("c/config", Config{Version: 6})
		read(f)
		Expect(f.Snapshot().Config.Version).To(Equal(int64(6)))
	})

	// Guards against a host that follows others and takes what they read after the restore
	// for older than its own entries, through one and through two restores.
	It("get the changes of a later generation from other hosts", func() {
		f, watcher := newFollower(), newFollower()
		read(f)
		read(watcher)
		older := memory.Copy()
		for range 5 {
			put("s/i1", Server{Service: "x", Started: 10, Sequence: 2})
		}
		read(f)
		for range 2 {
			memory.Restore(older)
		}
		put("c/config", Config{Version: 9})
		read(watcher)
		for _, p := range []Part{OperatorPart, ServersPart} {
			Expect(f.ConfirmByPeer(p, time.Now(), watcher.Confirmation(p))).To(BeTrue())
			exchange(p, f, watcher)
		}
		Expect(f.Snapshot().Config.Version).To(Equal(int64(9)))
		Expect(f.Revisions()).To(Equal(watcher.Revisions()))
	})

	// Guards against the same where a part was empty before and after the restore.
	It("get the changes of a part that was empty", func() {
		remove("s/i1")
		f, watcher := newFollower(), newFollower()
		read(f)
		read(watcher)
		memory.Restore(memory.Copy())
		read(watcher)
		put("s/i2", Server{Service: "x"})
		added, _, err := memory.Get(ctx, "s/i2")
		Expect(err).NotTo(HaveOccurred())
		watcher.servers.apply(&platform.WatchUpdate{Revision: added.ModRevision, Events: []platform.Event{{KeyValue: added}}})
		exchange(ServersPart, f, watcher)
		Expect(f.Snapshot().Servers).To(HaveKey("i2"))
	})

	// Guards against a host that counts as up to date because another one, which has not
	// heard of the restore or runs a build that does not know it, confirms it.
	It("are not confirmed by a host of another generation", func() {
		f, other := newFollower(), newFollower()
		read(f)
		read(other)
		memory.Restore(memory.Copy())
		read(f)
		now := time.Now().Add(10 * time.Second)
		f.now = func() time.Time { return now }
		confirmation := other.Confirmation(ServersPart)
		confirmation.StoreAge = 0
		f.ConfirmByPeer(ServersPart, now, confirmation)
		Expect(f.Confirmation(ServersPart).StoreAge).To(BeNumerically(">=", 9*time.Second))
	})

	// Guards against hosts of two builds that do not understand each other during an
	// upgrade: the older build tells no generation.
	It("take the revisions of an older build for those of the present generation", func() {
		memory.Restore(memory.Copy())
		f := newFollower()
		read(f)
		told := &peerv1.CatalogRevisions{Operator: 7, Servers: 8}
		Expect(f.revisionsFromProto(told)).To(Equal(Revisions{
			Operator: platform.ComposeRevision(2, 7), Servers: platform.ComposeRevision(2, 8),
		}))
		memory.Restore(memory.Copy())
		Expect(f.revisionsFromProto(told)).To(Equal(Revisions{Operator: 7, Servers: 8}))
		own := Revisions{Operator: platform.ComposeRevision(3, 7), Servers: 8}
		Expect(f.revisionsFromProto(revisionsToProto(own))).To(Equal(own))
	})
})
