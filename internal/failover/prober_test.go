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

// Guards against an instance reported unreachable before SuspicionTimeout, or not reported
// after it, against reports of an instance that was not probed long enough, and against
// late reports or reports that miss a change.
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
					t.Fatalf("probe at %v while another is pending or before ProbeInterval", now)
				}
				lastProbe = now
				inFlight = append(inFlight, now)
			}
			wantReachable := !success.IsZero() && now.Sub(success) < SuspicionTimeout
			notReportable := success.IsZero() && now.Sub(start) < SuspicionTimeout
			if report == nil {
				if notReportable {
					continue
				}
				if now.Sub(lastReport) >= ReportInterval || wantReachable != reachable {
					t.Fatalf("missing report at %v", now)
				}
				continue
			}
			lastReport, reachable = now, wantReachable
			if notReportable {
				t.Fatalf("instance reported only %v after it was added: %+v", now.Sub(start), report)
			}
			if report[0].Reachable != wantReachable {
				t.Fatalf("reachable %v after %v without success", report[0].Reachable, now.Sub(success))
			}
		}
	})
}

// Guards against databases that move to another prober although their prober is still live.
func TestAssignedProberMovesOnlyTheDatabasesOfALeavingHost(t *testing.T) {
	g := NewWithT(t)
	hosts := []string{"h1", "h2", "h3", "h4"}
	moved := 0
	for _, database := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		before := AssignedProber(hosts, database)
		after := AssignedProber(hosts[:3], database)
		if before != "h4" {
			g.Expect(after).To(Equal(before))
		} else {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically(">", 0))
	g.Expect(AssignedProber(nil, "a")).To(BeEmpty())
}

// Guards against a coordinator that stops during an outage of the platform, and against one
// that continues after another host was elected.
func TestPromise2EpochsInAnOutage(t *testing.T) {
	type step struct {
		held         uint64 // 0: the lease is not held
		seen         uint64 // 0: nothing is seen
		relinquished bool
		expect       uint64
	}
	for name, steps := range map[string][]step{
		"keeps the epoch after the lease lapsed":             {{held: 4, expect: 4}, {expect: 4}, {seen: 3, expect: 4}},
		"stops coordinating at a higher epoch":               {{held: 4, expect: 4}, {seen: 5, expect: 0}, {expect: 0}},
		"does not coordinate again in a superseded epoch":    {{held: 4, expect: 4}, {seen: 5, expect: 0}, {held: 4, expect: 0}},
		"coordinates again in an epoch above the one seen":   {{held: 4, expect: 4}, {seen: 5, expect: 0}, {held: 6, expect: 6}},
		"moves to a higher epoch after its own lease lapsed": {{held: 4, expect: 4}, {expect: 4}, {held: 6, expect: 6}},
		"does not coordinate a bucket that it relinquished":  {{held: 4, expect: 4}, {relinquished: true, expect: 0}, {held: 4, expect: 0}},
	} {
		t.Run("Promise 2: "+name, func(t *testing.T) {
			var e Epochs
			for i, s := range steps {
				e.ObserveLease(3, s.held, s.held != 0)
				if s.seen != 0 {
					e.ObserveEpoch(3, s.seen)
				}
				if s.relinquished {
					e.Relinquish(3)
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
