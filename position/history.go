package position

import (
	"fmt"
	"slices"
)

// TermStart says where a term begins: its first entry is the one after LSN Start.
type TermStart struct {
	Term  Term `json:"term"`
	Start LSN  `json:"start"`
}

// History lists the terms of one log in ascending order. Both the terms and
// the start LSNs never decrease.
type History []TermStart

// Validate checks the order of the terms and of their start LSNs.
func (h History) Validate() error {
	for i := 1; i < len(h); i++ {
		if !h[i-1].Term.Less(h[i].Term) {
			return fmt.Errorf("history: term %s follows %s", h[i].Term, h[i-1].Term)
		}
		if h[i].Start < h[i-1].Start {
			return fmt.Errorf("history: term %s starts at %d, before term %s at %d",
				h[i].Term, h[i].Start, h[i-1].Term, h[i-1].Start)
		}
	}
	return nil
}

// Contains reports whether p lies on the history: its term is listed, and the
// term that follows, if any, starts at or after p. The zero position lies on
// every history.
func (h History) Contains(p Position) bool {
	if p.IsZero() {
		return true
	}
	i, ok := slices.BinarySearchFunc(h, p.Term, func(f TermStart, t Term) int {
		return f.Term.Compare(t)
	})
	if !ok {
		return false
	}
	if i+1 < len(h) {
		return p.LSN <= h[i+1].Start
	}
	return true
}

// Satisfies reports whether a log with this history that has been applied up
// to applied contains wanted.
func (h History) Satisfies(applied LSN, wanted Position) bool {
	return wanted.LSN <= applied && h.Contains(wanted)
}

// Append returns the history with a new term that starts after the entry at
// start. Terms that started after that entry are dropped with their log.
func (h History) Append(t Term, start LSN) History {
	kept := slices.DeleteFunc(slices.Clone(h), func(f TermStart) bool {
		return f.Start > start || !f.Term.Less(t)
	})
	return append(kept, TermStart{Term: t, Start: start})
}

// CommonPrefix returns the highest LSN up to which two logs with the given
// ends are the same.
func CommonPrefix(a, b History, aEnd, bEnd LSN) LSN {
	shared := 0
	for shared < len(a) && shared < len(b) && a[shared] == b[shared] {
		shared++
	}
	limit := min(aEnd, bEnd)
	if shared < len(a) {
		limit = min(limit, a[shared].Start)
	}
	if shared < len(b) {
		limit = min(limit, b[shared].Start)
	}
	if shared == 0 {
		return 0
	}
	return limit
}
