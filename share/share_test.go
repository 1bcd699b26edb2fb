package share_test

import (
	"flag"
	"math"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/share"
)

func TestMain(m *testing.M) {
	flag.Parse()
	checks := "10000"
	if testing.Short() {
		checks = "1000"
	}
	settings := map[string]string{
		"rapid.seed":       "20260101",
		"rapid.checks":     checks,
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "1s",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "share")
}

// setFlag sets a flag and restores it when the test ends.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// checkSeeds runs the histories with the seed of TestMain, and fewer of them with
// two seeds that reproduce past faults: tokens credited twice for a renewed grant,
// a return that raised a unit grant, and a lowered limit that a sequence of owners
// kept exceeded.
func checkSeeds(t *testing.T, kind share.Kind) {
	cfg := share.ShortConfig(kind)
	rapid.Check(t, func(t *rapid.T) { runHistory(t, cfg) })
	if testing.Short() {
		return
	}
	setFlag(t, "rapid.checks", "4000")
	for _, found := range []string{"3", "8"} {
		setFlag(t, "rapid.seed", found)
		rapid.Check(t, func(t *rapid.T) { runHistory(t, cfg) })
	}
}

// Guards against interleavings of calls, restarts and owner changes in which the
// fleet admits more than burst + rate * window.
func TestRateNeverExceedsIdealBucket(t *testing.T) { checkSeeds(t, share.Rate) }

// Guards against interleavings of calls, restarts and owner changes in which more
// units are in use than the limit allows.
func TestUnitsNeverExceedLimit(t *testing.T) { checkSeeds(t, share.Units) }

// Guards against a division that grants more than the supply or does not meet small
// needs first.
var _ = DescribeTable("water level",
	func(needs []float64, supply, level float64) {
		Expect(share.WaterLevel(needs, supply)).To(Equal(level))
	},
	Entry("no needs", nil, 10.0, math.Inf(1)),
	Entry("all needs are met", []float64{3, 4}, 10.0, math.Inf(1)),
	Entry("small needs are met first", []float64{20, 2, 30}, 12.0, 5.0),
	Entry("no supply", []float64{1, 2}, 0.0, 0.0),
)

// Guards against malformed or outdated calls that would corrupt the sums of an
// owner.
var _ = DescribeTable("an owner refuses",
	func(change func(*share.Call), reason error) {
		now := epochStart
		owner := share.NewOwner(share.RateConfig(), 2, share.Limit{Rate: 10, Capacity: 10}, 1, now)
		call := share.Call{Holder: share.HolderID{Host: "h", Incarnation: 1}, Sequence: 1}
		change(&call)
		_, err := owner.Handle(call, now)
		Expect(err).To(MatchError(reason))
	},
	Entry("a demand that is not a number", func(c *share.Call) { c.Wanted = math.NaN() }, share.ErrMalformed),
	Entry("an infinite level", func(c *share.Call) {
		c.Returned = []share.Grant{{Level: math.Inf(1)}}
	}, share.ErrMalformed),
	Entry("an unknown class", func(c *share.Call) { c.Held = []share.Grant{{Class: 9}} }, share.ErrMalformed),
	Entry("a call without a sequence", func(c *share.Call) { c.Sequence = 0 }, share.ErrOldCall),
	Entry("a call that knows a later owner", func(c *share.Call) { c.Epoch = 3 }, share.ErrOldEpoch),
)
