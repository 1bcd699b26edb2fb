package platform

import "sync"

// Generation counts how often a store has come back from an older copy of its data. What
// it has acknowledged is lost only between two generations. Within a generation its
// revisions increase; in the next one they start again from that of the copy.
type Generation int64

// FirstGeneration is the generation of a store that has never been restored. A store that
// does not report its generation counts as being in the first one.
const FirstGeneration Generation = 1

const (
	// numberBits is the number of bits of a revision that hold its number within the
	// generation; at 400 changes a second they last for 87 years.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	// MaxGeneration is the highest generation that a revision can hold.
	MaxGeneration Generation = 1<<(63-numberBits) - 1
)

// ComposeRevision returns the revision with a number within a generation. Every revision
// of a generation is higher than those of the generations before, and in the first
// generation a revision is its number.
func ComposeRevision(g Generation, number int64) int64 {
	if number <= 0 {
		return number
	}
	return int64(max(g, FirstGeneration)-FirstGeneration)<<numberBits | min(number, maxNumber)
}

// SplitRevision returns the generation of a revision and its number within it.
func SplitRevision(revision int64) (Generation, int64) {
	if revision <= 0 {
		return FirstGeneration, revision
	}
	return Generation(revision>>numberBits) + FirstGeneration, revision & maxNumber
}

// GenerationTracker holds the newest generation that the answers of a store have shown.
// It is safe for concurrent use.
type GenerationTracker struct {
	// advanced is called with each newer generation.
	advanced func(from, to Generation)

	mu     sync.Mutex
	newest Generation
}

// NewGenerationTracker returns a tracker that calls advanced, unless it is nil, with each
// newer generation. The first one that is seen counts as newer than 0.
func NewGenerationTracker(advanced func(from, to Generation)) *GenerationTracker {
	return &GenerationTracker{advanced: advanced}
}

// Observe records the generation of an answer. Answers may arrive in any order.
func (t *GenerationTracker) Observe(g Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g <= t.newest {
		return
	}
	from := t.newest
	t.newest = g
	if t.advanced != nil {
		t.advanced(from, g)
	}
}

// Newest returns the newest generation, FirstGeneration if no answer has shown one.
func (t *GenerationTracker) Newest() Generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.newest, FirstGeneration)
}
