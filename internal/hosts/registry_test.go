package hosts

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

var _ = Describe("Registry", func() {
	var memory *platformtest.Memory
	var registry *Registry
	var now time.Time
	running := map[string]bool{}
	ctx := context.Background()

	names := func() []string {
		var out []string
		for _, h := range registry.Hosts() {
			out = append(out, h.Name)
		}
		return out
	}
	remove := func(name string) {
		_, err := memory.Txn(ctx, platform.Txn{Deletes: []string{Prefix + name}})
		Expect(err).NotTo(HaveOccurred())
		Expect(registry.refresh(ctx)).To(Succeed())
	}
	BeforeEach(func() {
		now = time.Now()
		memory = platformtest.NewMemory(nil)
		registry = New(Host{Name: "self", Domain: "d0"}, memory, zap.NewNop())
		registry.now = func() time.Time { return now }
		registry.SetAlive(func(name string) bool { return running[name] })
		for _, name := range []string{"self", "other"} {
			value, err := json.Marshal(Host{Domain: "d0", Address: name + ":1"})
			Expect(err).NotTo(HaveOccurred())
			_, err = memory.Txn(ctx, platform.Txn{Puts: []platform.Put{{Key: Prefix + name, Value: value}}})
			Expect(err).NotTo(HaveOccurred())
			running[name] = true
		}
		Expect(registry.refresh(ctx)).To(Succeed())
	})

	// Guards against a host that the store refuses for a while and that loses its
	// connections and its part of limits to other hosts although it runs.
	It("keeps a host whose entry expired while it is alive", func() {
		remove("other")
		Expect(names()).To(ConsistOf("self", "other"))
		now = now.Add(2 * goneRetention)
		Expect(registry.Counted()).To(HaveLen(2))
		running["other"] = false
		Expect(names()).To(ConsistOf("self"))
		Expect(registry.Counted()).To(HaveLen(2))
		now = now.Add(goneRetention + time.Second)
		Expect(registry.Counted()).To(HaveLen(1))
	})

	// Guards against limits that are shared out twice: a host that is silent may still run.
	It("counts a host that is gone and silent for a while", func() {
		running["other"] = false
		remove("other")
		Expect(names()).To(ConsistOf("self"))
		Expect(registry.Counted()).To(HaveLen(2))
		now = now.Add(goneRetention + time.Second)
		Expect(registry.Counted()).To(HaveLen(1))
	})

	// Guards against a large fleet that is taken for a small one while its hosts start.
	It("does not know the hosts after the first read", func() {
		Expect(registry.Known()).To(BeFalse())
		Expect(registry.refresh(ctx)).To(Succeed())
		Expect(registry.Known()).To(BeTrue())
	})
})

var _ = Describe("Registry in a store that was restored from an older copy", func() {
	// Guards against a host that goes on with its lease because the copy still holds it,
	// although the keys that it had bound to the lease since are lost: another host could
	// take the same duty.
	It("registers again under a new lease", func() {
		memory := platformtest.NewMemory(nil)
		registry := New(Host{Name: "self", Domain: "d0"}, memory, zap.NewNop())
		reconnected := 0
		registry.OnReconnected(func() { reconnected++ })
		ctx := context.Background()
		Expect(registry.renewOrRegister(ctx)).To(Succeed())
		older := memory.Copy()
		Expect(registry.renewOrRegister(ctx)).To(Succeed())
		before, valid := registry.Lease()
		Expect(valid).To(BeNumerically(">", 0))
		memory.Restore(older)
		_, valid = registry.Lease()
		Expect(valid).To(BeZero())
		Expect(registry.renewOrRegister(ctx)).To(Succeed())
		after, valid := registry.Lease()
		Expect(valid).To(BeNumerically(">", 0))
		Expect(after).NotTo(Equal(before))
		Expect(reconnected).To(Equal(1))
		item, _, err := memory.Get(ctx, Prefix+"self")
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Lease).To(Equal(after))
	})

	// Guards against a host that is not found by the others, because the copy is from
	// before it started.
	It("registers again if the copy does not hold its lease", func() {
		memory := platformtest.NewMemory(nil)
		older := memory.Copy()
		registry := New(Host{Name: "self", Domain: "d0"}, memory, zap.NewNop())
		ctx := context.Background()
		Expect(registry.renewOrRegister(ctx)).To(Succeed())
		memory.Restore(older)
		Expect(registry.renewOrRegister(ctx)).To(Succeed())
		item, _, err := memory.Get(ctx, Prefix+"self")
		Expect(err).NotTo(HaveOccurred())
		Expect(item.ModRevision).NotTo(BeZero())
	})
})

var _ = Describe("Registry and a store that carries out a write late", func() {
	// Guards against a registration that is bound to an older lease, with whose end the
	// host is gone for the others although it renews its newer one.
	It("keeps the entry under the lease that it renews", func() {
		memory := platformtest.NewMemory(nil)
		registry := New(Host{Name: "self", Domain: "d0"}, memory, zap.NewNop())
		ctx := context.Background()
		memory.SetFault(platformtest.Fault{Postpone: true})
		Expect(registry.renewOrRegister(ctx)).NotTo(Succeed())
		memory.SetFault(platformtest.Fault{})
		Expect(registry.renewOrRegister(ctx)).To(Succeed())
		memory.RunPostponed()
		lease, _ := registry.Lease()
		item, _, err := memory.Get(ctx, Prefix+"self")
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Lease).To(Equal(lease))
	})
})
