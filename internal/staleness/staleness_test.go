package staleness

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/position"
)

func TestStaleness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "staleness")
}

func at(term, lsn uint64) position.Position {
	return position.Position{Term: position.Term{Epoch: term}, LSN: position.LSN(lsn)}
}

// newBounds returns Bounds on a host that was never suspended.
func newBounds() *Bounds {
	b := New()
	b.suspension = func() suspension { return suspension{} }
	return b
}

var _ = Describe("Bounds", func() {
	start := time.Now()

	// Guards against a sample that looks too recent because the monotonic clock stopped
	// while the host was suspended.
	It("adds the time of a suspension to the age of samples", func() {
		b := newBounds()
		b.Add("x", b.Now(), at(1, 7))
		asked := time.Now().Add(-time.Second)
		_, _, ok := b.Lookup("x", asked)
		Expect(ok).To(BeTrue())
		b.suspension = func() suspension { return suspension{3 * time.Second, 3 * time.Second} }
		_, _, ok = b.Lookup("x", asked)
		Expect(ok).To(BeFalse())
		newest, ok := b.Newest("x")
		Expect(ok).To(BeTrue())
		Expect(time.Since(newest.At)).To(BeNumerically(">=", 3*time.Second))
		b.Add("x", b.Now(), at(1, 8))
		s, _, ok := b.Lookup("x", asked)
		Expect(ok).To(BeTrue())
		Expect(s.Position).To(Equal(at(1, 8)))
	})

	// Guards against a read that is staler than its route allows.
	It("returns the oldest sample that is recent enough", func() {
		b := newBounds()
		for i := range 5 {
			b.Add("x", Timestamp{At: start.Add(time.Duration(i) * time.Second)}, at(1, uint64(10*i)+1))
		}
		s, _, ok := b.Lookup("x", start.Add(1500*time.Millisecond))
		Expect(ok).To(BeTrue())
		Expect(s.Position).To(Equal(at(1, 21)))
		_, _, ok = b.Lookup("x", start.Add(5*time.Second))
		Expect(ok).To(BeFalse())
	})

	// Guards against a sample that looks too recent because the process was descheduled
	// between the clock readings of its timestamp.
	It("uses the oldest possible time of a sample", func() {
		const pause = 90 * time.Millisecond
		b := newBounds()
		b.suspension = func() suspension { return suspension{0, pause} }
		b.Add("x", b.Now(), at(1, 7))
		newest, ok := b.Newest("x")
		Expect(ok).To(BeTrue())
		Expect(time.Since(newest.At)).To(BeNumerically(">=", pause))
	})

	// Guards against requiring a position that a promotion rolled back and that no
	// instance may ever reach.
	It("discards the samples of an ended term", func() {
		b := newBounds()
		b.Add("x", Timestamp{At: start}, at(1, 500))
		b.Add("x", Timestamp{At: start.Add(time.Second)}, at(2, 400))
		s, _, ok := b.Lookup("x", start)
		Expect(ok).To(BeTrue())
		Expect(s.Position).To(Equal(at(2, 400)))
		Expect(b.Add("x", Timestamp{At: start.Add(2 * time.Second)}, at(1, 600))).To(BeFalse())
	})
})

// Guards against a sample that does not cover a commit: whatever the order of answers,
// the sample for a time must cover every commit that was acknowledged before it.
func TestSampleCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBounds()
		start := time.Now()
		var now time.Duration
		lsn := uint64(1)
		type commit struct {
			at  time.Duration
			lsn uint64
		}
		var commits []commit
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "commit") {
				lsn++
				commits = append(commits, commit{now, lsn})
				continue
			}
			// The leader's answer holds its position at some time after the request.
			delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
			b.Add("x", Timestamp{At: start.Add(now - delay)}, at(1, lsn))
		}
		age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
		s, _, ok := b.Lookup("x", start.Add(now-age))
		if !ok {
			return
		}
		for _, c := range commits {
			if c.at < now-age && uint64(s.Position.LSN) < c.lsn {
				t.Fatalf("sample %v does not cover commit %d acknowledged %v ago", s.Position, c.lsn, now-c.at)
			}
		}
	})
}
