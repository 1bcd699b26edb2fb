package platform

import (
	"math"
	"testing"
)

// Guards against an order of revisions in which a change of a later generation counts as
// older, and against tokens of promotion orders that go back with the store.
func TestRevisionsAreOrderedByGenerationAndNumber(t *testing.T) {
	generations := []Generation{FirstGeneration, 2, 3, MaxGeneration}
	numbers := []int64{1, 2, 57, maxNumber - 1, maxNumber}
	previous := int64(0)
	for _, g := range generations {
		for _, number := range numbers {
			revision := ComposeRevision(g, number)
			if revision <= previous {
				t.Errorf("generation %d, number %d: revision %d is not above %d", g, number, revision, previous)
			}
			if gotGeneration, gotNumber := SplitRevision(revision); gotGeneration != g || gotNumber != number {
				t.Errorf("revision %d: got generation %d, number %d; want %d, %d", revision, gotGeneration, gotNumber, g, number)
			}
			previous = revision
		}
	}
}

// Guards against a number that is too large for a revision and leads into the next
// generation, and against an absent key that seems present.
func TestRevisionsAtTheLimits(t *testing.T) {
	if got := ComposeRevision(2, math.MaxInt64); got >= ComposeRevision(3, 1) {
		t.Errorf("a number out of range gives revision %d", got)
	}
	if got := ComposeRevision(7, 0); got != 0 {
		t.Errorf("an absent key has revision %d", got)
	}
	if got := ComposeRevision(0, 12); got != 12 {
		t.Errorf("without a generation, number 12 gives revision %d", got)
	}
}

// Guards against a generation that goes back with an answer that arrives late.
func TestGenerationTrackerIgnoresLateAnswers(t *testing.T) {
	var seen []Generation
	tracker := NewGenerationTracker(func(_, to Generation) { seen = append(seen, to) })
	for _, g := range []Generation{1, 3, 2, 3} {
		tracker.Observe(g)
	}
	if tracker.Newest() != 3 || len(seen) != 2 {
		t.Errorf("newest generation %d after the advances %v", tracker.Newest(), seen)
	}
}
