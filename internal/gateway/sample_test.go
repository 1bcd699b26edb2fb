package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/position"
)

// fakePositions is a PositionSource that returns the primary's position in a fake
// group.
type fakePositions struct {
	group *fakeGroup
	err   error
	age   time.Duration
	calls atomic.Int64
}

func (f *fakePositions) Position(_ context.Context, primary *catalog.Server) (position.Position, time.Duration, error) {
	f.calls.Add(1)
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return f.group.instances[primary.ID].position(), f.age, f.err
}

// In a large fleet a host gets answers from a leader less often than the staleness
// limits of its routes require.
var _ = Describe("Positions from another host", func() {
	var s *fixture
	var positions *fakePositions
	BeforeEach(func() {
		s = newFixture()
		positions = &fakePositions{group: s.group}
		s.gateway.options.Positions = positions
		for _, id := range []string{"r1", "r2"} {
			s.group.set(id, func(i *fakeInstance) { i.applied = 100 })
		}
	})

	// Guards against overloading a primary with reads that replicas could serve: without
	// samples from other hosts, 73 hosts with 8 services sent nearly all reads to the
	// primaries.
	It("lets a host without its own samples read from replicas", func() {
		for _, database := range []string{"bounded", "own"} {
			session := s.session(database)
			for i := range 5 {
				id := fmt.Sprintf("%s-%d", database, i)
				Expect(session.handle(read(id)).Succeeded()).To(BeTrue())
				Expect(s.group.runsOf(id)).To(Equal([]string{"r1"}))
			}
		}
		Expect(positions.calls.Load()).To(Equal(int64(1)))
	})

	// Guards against a read that is staler than its route allows because the age that
	// the sample already had at the other host was not counted.
	It("does not use a sample that was too old when it was received", func() {
		positions.age = 2 * time.Second
		Expect(s.session("bounded").handle(read("q")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q")).To(Equal([]string{"p"}))
	})

	// Guards against reads that fail because the other host could not provide a sample.
	It("reads from the leader when no sample is available", func() {
		positions.err = errors.New("not reached")
		Expect(s.session("bounded").handle(read("q")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q")).To(Equal([]string{"p"}))
	})

	// Guards against reads that block because the newest sample has just expired.
	It("renews a sample in the background before it is too old", func() {
		positions.age = 800 * time.Millisecond
		session := s.session("bounded")
		Expect(session.handle(read("q1")).Succeeded()).To(BeTrue())
		Expect(positions.calls.Load()).To(Equal(int64(1)))
		Expect(session.handle(read("q2")).Succeeded()).To(BeTrue())
		Eventually(positions.calls.Load).Should(Equal(int64(2)))
		Expect(s.group.runsOf("q2")).To(Equal([]string{"r1"}))
	})

	// Guards against a request to the leader for every host that needs a position.
	It("gives other hosts a recent sample without asking the leader again", func() {
		p, age, err := s.gateway.LeaderPosition(context.Background(), "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(p).To(Equal(s.group.instances["p"].position()))
		Expect(age).To(BeNumerically("<", maxSharedAge))
		s.group.set("p", func(i *fakeInstance) { i.fault = unreachable })
		_, _, err = s.gateway.LeaderPosition(context.Background(), "x")
		Expect(err).NotTo(HaveOccurred())
		s.gateway.now = func() time.Time { return time.Now().Add(time.Second) }
		_, _, err = s.gateway.LeaderPosition(context.Background(), "x")
		Expect(err).To(HaveOccurred())
	})
})
