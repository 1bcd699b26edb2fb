package catalog

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

var _ = Describe("Followers that follow each other", func() {
	var memory *platformtest.Memory
	ctx := context.Background()
	put := func(key string, value any) { putJSON(memory, key, value) }
	// read returns a follower that has read the catalog once and watches nothing.
	read := func() *Follower {
		f := NewFollower(memory, testLayout(), func() time.Duration { return time.Second }, zap.NewNop())
		f.SetRelaying(Relaying{
			Known: func() bool { return true }, Enabled: func() bool { return true },
			Watches: func() bool { return false }, Isolated: func() bool { return false },
		})
		Expect(f.operator.readAll(ctx)).To(Succeed())
		Expect(f.servers.readAll(ctx)).To(Succeed())
		return f
	}
	// fetch makes one follower get what it lacks of the servers from another one.
	fetch := func(to, from *Follower) {
		to.Apply(ServersPart, from.Since(ServersPart, to.Confirmation(ServersPart).Revision))
	}
	BeforeEach(func() {
		memory = platformtest.NewMemory(nil)
		put("c/config", Config{Version: 1})
		put("s/i1", Server{Service: "x"})
	})

	// Guards against hosts that fetch the whole catalog from every host that starts: the
	// bytes between the hosts grew with the square of their number.
	It("see nothing new in a host that has just read the same entries", func() {
		f := read()
		put("elsewhere", 1)
		later := read()
		Expect(f.ConfirmByPeer(ServersPart, time.Now(), later.Confirmation(ServersPart))).To(BeFalse())
		Expect(f.ConfirmByPeer(OperatorPart, time.Now(), later.Confirmation(OperatorPart))).To(BeFalse())
	})

	// Guards against a host without a watch that misses a change.
	It("get changes and removals from a host that knows them", func() {
		f := read()
		put("s/i2", Server{Service: "x"})
		newer := read()
		Expect(f.ConfirmByPeer(ServersPart, time.Now(), newer.Confirmation(ServersPart))).To(BeTrue())
		fetch(f, newer)
		Expect(f.Snapshot().Servers).To(HaveKey("i2"))
		_, err := memory.Txn(ctx, platform.Txn{Deletes: []string{"s/i2"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(newer.servers.readAll(ctx)).To(Succeed())
		fetch(f, newer)
		Expect(f.Snapshot().Servers["i2"].Lapsed).NotTo(BeZero())
	})

	// Guards against an older update that arrives late and undoes a newer one.
	It("ignore an update that is older than what they know", func() {
		old := read()
		late := old.Since(ServersPart, 0)
		put("s/i2", Server{Service: "x"})
		f := read()
		f.Apply(ServersPart, late)
		Expect(f.Snapshot().Servers["i2"].Lapsed).To(BeZero())
	})

	// Guards against a change that is not announced: the host was woken by the new view
	// before it knew its revision, and the others learned of it from later heartbeats.
	It("know the revision of a change when they are woken by it", func() {
		f := read()
		before := f.Revisions().Servers
		changed := f.Changed()
		seen := make(chan int64, 1)
		go func() {
			<-changed
			seen <- f.Revisions().Servers
		}()
		put("s/i2", Server{Service: "x"})
		Expect(f.servers.readAll(ctx)).To(Succeed())
		Eventually(seen).Should(Receive(BeNumerically(">", before)))
	})

	// Guards against hosts that confirm each other without anyone having asked the store.
	It("know how old their knowledge is", func() {
		f := read()
		peer := read()
		now := time.Now()
		f.now = func() time.Time { return now.Add(10 * time.Second) }
		peer.now = f.now
		before := f.Confirmation(ServersPart).StoreAge
		Expect(before).To(BeNumerically(">=", 9*time.Second))
		f.ConfirmByPeer(ServersPart, f.now(), peer.Confirmation(ServersPart))
		Expect(f.Confirmation(ServersPart).StoreAge).To(BeNumerically(">=", 9*time.Second))
	})
})
