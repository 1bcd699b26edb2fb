package failover

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/position"
)

// Guards against a suspicion before SuspicionTimeout or none after it, against
// a verdict on an instance that was not probed long enough, and against
// reports that are late or miss a change.
func TestProberHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewProber()
		now := time.Unix(0, 0)
		start := now
		p.Configure(now, []Instance{{Name: "i1", Address: "x"}})
		var success, lastProbe, lastReport time.Time
		var inFlight []time.Time
		reachable, term := false, uint64(1)
		for range rapid.IntRange(5, 60).Draw(t, "length") {
			now = now.Add(time.Duration(rapid.IntRange(10, 250).Draw(t, "ms")) * time.Millisecond)
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "answers") {
				var err error
				if rapid.IntRange(0, 2).Draw(t, "fails") > 0 {
					err = errors.New("refused")
				} else {
					success = inFlight[0]
				}
				p.Result(inFlight[0], ProbeCall{Instance: "i1", Address: "x"}, backend.Status{Term: position.Term{Epoch: term}}, err)
				inFlight = nil
			}
			calls, report := p.Tick(now)
			if len(calls) > 0 {
				if len(inFlight) > 0 || !lastProbe.IsZero() && now.Sub(lastProbe) < ProbeInterval {
					t.Fatalf("probe at %v while one is under way or too soon", now)
				}
				lastProbe = now
				inFlight = append(inFlight, now)
			}
			truth := !success.IsZero() && now.Sub(success) < SuspicionTimeout
			noVerdict := success.IsZero() && now.Sub(start) < SuspicionTimeout
			if report == nil {
				if noVerdict {
					continue
				}
				if now.Sub(lastReport) >= ReportInterval || truth != reachable {
					t.Fatalf("no report at %v", now)
				}
				continue
			}
			lastReport, reachable = now, truth
			if noVerdict {
				t.Fatalf("verdict after %v: %+v", now.Sub(start), report)
			}
			if report[0].Reachable != truth {
				t.Fatalf("reachable %v after %v without success", report[0].Reachable, now.Sub(success))
			}
		}
	})
}

// Guards against databases that move between probers although their own
// prober stays.
func TestProberOfMovesOnlyTheDatabasesOfALeavingHost(t *testing.T) {
	g := NewWithT(t)
	hosts := []string{"h1", "h2", "h3", "h4"}
	moved := 0
	for _, database := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		before := ProberOf(hosts, database)
		after := ProberOf(hosts[:3], database)
		if before != "h4" {
			g.Expect(after).To(Equal(before))
		} else {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically(">", 0))
	g.Expect(ProberOf(nil, "a")).To(BeEmpty())
}

// Guards against a coordinator that stops in an outage of the platform, and
// against one that goes on when another host was elected.
func TestPromise2EpochsInAnOutage(t *testing.T) {
	type step struct {
		held   uint64 // 0: the lease is not held
		seen   uint64 // 0: nothing is seen
		ended  bool
		expect uint64
	}
	for name, steps := range map[string][]step{
		"keeps the epoch while the lease lapsed":     {{held: 4, expect: 4}, {expect: 4}, {seen: 3, expect: 4}},
		"yields to a higher epoch":                   {{held: 4, expect: 4}, {seen: 5, expect: 0}, {expect: 0}},
		"does not return in the epoch that ended":    {{held: 4, expect: 4}, {seen: 5, expect: 0}, {held: 4, expect: 0}},
		"returns in an epoch above the one seen":     {{held: 4, expect: 4}, {seen: 5, expect: 0}, {held: 6, expect: 6}},
		"takes over from a lapsed lease of its own":  {{held: 4, expect: 4}, {expect: 4}, {held: 6, expect: 6}},
		"does not lead a bucket that it handed back": {{held: 4, expect: 4}, {ended: true, expect: 0}, {held: 4, expect: 0}},
	} {
		t.Run("Promise 2: "+name, func(t *testing.T) {
			var e Epochs
			for i, s := range steps {
				e.Held(3, s.held, s.held != 0)
				if s.seen != 0 {
					e.Seen(3, s.seen)
				}
				if s.ended {
					e.End(3)
				}
				if got, _ := e.Epoch(3); got != s.expect {
					t.Fatalf("step %d: epoch %d, expected %d", i, got, s.expect)
				}
			}
			if epoch, _ := e.Epoch(3); epoch != 0 {
				NewWithT(t).Expect(e.Claims()).To(Equal([]membership.BucketClaim{{Bucket: 3, Epoch: epoch}}))
			}
		})
	}
}
