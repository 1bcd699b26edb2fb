package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/lease"
)

// Guards against two groups of hosts that each believe to be a quorum, also if their
// views of the fleet differ by a few hosts.
func TestQuorumsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.IntRange(1, 400).Draw(t, "common")
		const driftDivisor = 10
		extra := common / driftDivisor
		a, b := common+rapid.IntRange(0, extra).Draw(t, "only a"), common+rapid.IntRange(0, extra).Draw(t, "only b")
		union := a + b - common
		if lease.QuorumSize(a)+lease.QuorumSize(b) <= union {
			t.Fatalf("quorums of %d and %d hosts, %d in common, may be disjoint", a, b, common)
		}
	})
}

// Guards against a lease that lasts longer than its oldest necessary confirmation.
func TestQuorumUntil(t *testing.T) {
	start := time.Unix(1000, 0)
	q := lease.NewQuorum(2*time.Second, 0)
	members := []string{"a", "b", "c"}
	if !q.Until(members).IsZero() {
		t.Fatal("lease without a confirmation")
	}
	q.Confirm("a", start)
	q.Confirm("x", start.Add(time.Hour))
	if !q.Until(members).IsZero() {
		t.Fatal("one of three and a stranger form a quorum")
	}
	q.Confirm("b", start.Add(time.Second))
	q.Confirm("b", start.Add(-time.Second))
	if got, want := q.Until(members), start.Add(2*time.Second); !got.Equal(want) {
		t.Fatalf("lease until %v, want %v", got, want)
	}
	q.Confirm("c", start.Add(3*time.Second))
	if got, want := q.Until(members), start.Add(3*time.Second); !got.Equal(want) {
		t.Fatalf("lease until %v, want %v", got, want)
	}
	if !q.Until(nil).IsZero() {
		t.Fatal("lease in an empty group")
	}
}

func ExampleQuorum() {
	q := lease.NewQuorum(2*time.Second, lease.DefaultMargin)
	members := []string{"a", "b", "c"}
	sent := time.Now()
	q.Confirm("a", sent)
	q.Confirm("b", sent.Add(time.Second))
	until := q.Until(members)
	fmt.Println("after one second:", sent.Add(time.Second).Before(until))
	fmt.Println("after two seconds:", sent.Add(2*time.Second).Before(until))
	// Output:
	// after one second: true
	// after two seconds: false
}
