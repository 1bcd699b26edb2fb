package lease_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/lease"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var _ = Describe("Clock", func() {
	start := time.Now()
	at := start.Add

	// Guards against a holder that acts on a lease after the grantor may have given
	// it to another holder.
	DescribeTable("is valid only within the time to live less the margin",
		func(use func(*lease.Clock), now time.Duration, valid bool) {
			clock := lease.New(0.02)
			use(clock)
			Expect(clock.Valid(at(now))).To(Equal(valid))
		},
		Entry("never granted", func(*lease.Clock) {}, time.Duration(0), false),
		Entry("just granted", func(c *lease.Clock) { c.Renew(at(0), time.Second) }, time.Duration(0), true),
		Entry("just before the margin", func(c *lease.Clock) { c.Renew(at(0), time.Second) }, 979*time.Millisecond, true),
		Entry("margin reached", func(c *lease.Clock) { c.Renew(at(0), time.Second) }, 980*time.Millisecond, false),
		Entry("holder paused for a minute", func(c *lease.Clock) { c.Renew(at(0), time.Second) }, time.Minute, false),
		Entry("renewed", func(c *lease.Clock) {
			c.Renew(at(0), time.Second)
			c.Renew(at(500*time.Millisecond), time.Second)
		}, 1400*time.Millisecond, true),
		Entry("answers out of order", func(c *lease.Clock) {
			c.Renew(at(500*time.Millisecond), time.Second)
			c.Renew(at(0), time.Second)
		}, 1400*time.Millisecond, true),
		Entry("no time to live", func(c *lease.Clock) { c.Renew(at(0), 0) }, time.Duration(0), false),
		Entry("ended while valid", func(c *lease.Clock) {
			c.Renew(at(0), time.Second)
			c.End()
		}, time.Duration(0), false),
		Entry("renewed after it was ended", func(c *lease.Clock) {
			c.End()
			c.Renew(at(0), time.Second)
		}, time.Duration(0), false),
	)
})

// Guards against two holders of one lease: with any delays, and with clock rates
// that are off by up to 1%, the holder must not consider the lease valid when the
// grantor may have given it to another.
func TestHolderEndsBeforeGrantor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 3 * time.Second
		origin := time.Now()
		holderRate := rapid.Float64Range(0.99, 1.01).Draw(t, "holder rate")
		grantorRate := rapid.Float64Range(0.99, 1.01).Draw(t, "grantor rate")
		onHolder := func(real time.Duration) time.Time {
			return origin.Add(time.Duration(float64(real) * holderRate))
		}
		clock := lease.New(lease.DefaultMargin)
		var now, grantorUntil time.Duration
		delay := rapid.Int64Range(0, int64(4*time.Second))
		for range rapid.IntRange(1, 8).Draw(t, "renewals") {
			sent := now
			now += time.Duration(delay.Draw(t, "request delay"))
			alive := grantorUntil == 0 || now < grantorUntil
			if alive {
				grantorUntil = now + time.Duration(float64(ttl)/grantorRate)
			}
			now += time.Duration(delay.Draw(t, "answer delay"))
			if alive {
				clock.Renew(onHolder(sent), ttl)
			}
			now += time.Duration(delay.Draw(t, "pause"))
			if clock.Valid(onHolder(now)) && now >= grantorUntil {
				t.Fatalf("valid at %v, but the grantor's lease ended at %v", now, grantorUntil)
			}
		}
	})
}
