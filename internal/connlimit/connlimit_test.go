package connlimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a limit of connections that leaves too few descriptors for everything else,
// or that is far below what the machine has.
func TestMax(t *testing.T) {
	g := NewWithT(t)
	for descriptors, callers := range map[int]int{0: 0, 100: 36, 512: 384, 4200: 3600, 11288: 10688} {
		g.Expect(Max(descriptors)).To(Equal(callers), "%d descriptors", descriptors)
	}
}

type fakeConn struct {
	busy    bool
	handled int64
	age     time.Duration
}

func (c *fakeConn) Busy() bool          { return c.busy }
func (c *fakeConn) Handled() int64      { return c.handled }
func (c *fakeConn) Accepted() time.Time { return time.Unix(0, 0).Add(-c.age) }

// Guards against a connection that is closed although it works or has done more than others.
func TestVictim(t *testing.T) {
	g := NewWithT(t)
	busy, worked := &fakeConn{busy: true, age: time.Hour}, &fakeConn{handled: 1, age: time.Hour}
	old, fresh := &fakeConn{age: time.Minute}, &fakeConn{age: time.Second}
	open := map[*fakeConn]struct{}{busy: {}, worked: {}, old: {}, fresh: {}}
	for _, expected := range []*fakeConn{old, fresh, worked} {
		victim, ok := Victim(open, len(open))
		g.Expect(ok).To(BeTrue())
		g.Expect(victim).To(BeIdenticalTo(expected))
		delete(open, expected)
	}
	_, ok := Victim(open, 1)
	g.Expect(ok).To(BeFalse(), "all are busy")
	_, ok = Victim(map[*fakeConn]struct{}{old: {}}, 2)
	g.Expect(ok).To(BeFalse(), "there is room")
	_, ok = Victim(map[*fakeConn]struct{}{old: {}}, 0)
	g.Expect(ok).To(BeFalse(), "there is no limit")
}
