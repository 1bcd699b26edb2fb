package platform

import "sync"

// Generation counts how often a store has come back from an older copy of its data. What
// it has acknowledged is lost only between two generations. Within a generation its
// revisions increase; in the next one they start again from that of the copy.
type Generation int64

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

// Newest returns the newest generation, 0 if no answer has shown one.
func (t *GenerationTracker) Newest() Generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}
