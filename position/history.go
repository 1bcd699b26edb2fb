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

// History lists the terms of one log. Terms are strictly ascending, and start LSNs
// never decrease.
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

// Contains reports whether p belongs to the history: its term is listed, and the
// next term, if any, starts at or after p. Every history contains the zero
// position.
func (h History) Contains(p Position) bool {
	if p.IsZero() {
		return true
	}
	i, ok := slices.BinarySearchFunc(h, p.Term, func(s TermStart, t Term) int {
		return s.Term.Compare(t)
	})
	if !ok {
		return false
	}
	if i+1 < len(h) {
		return p.LSN <= h[i+1].Start
	}
	return true
}

// Satisfies reports whether a replica that has applied a log with this history up to
// applied has the entry at wanted.
func (h History) Satisfies(applied LSN, wanted Position) bool {
	return wanted.LSN <= applied && h.Contains(wanted)
}

// Append returns the history with a new term that starts after the entry at start.
// Terms that started after that entry are dropped, because their entries are
// discarded, and so are terms that are not lower than t.
func (h History) Append(t Term, start LSN) History {
	kept := slices.DeleteFunc(slices.Clone(h), func(s TermStart) bool {
		return s.Start > start || !s.Term.Less(t)
	})
	return append(kept, TermStart{Term: t, Start: start})
}

// CommonPrefix returns the highest LSN up to which two logs with the given histories
// and last LSNs are identical.
func CommonPrefix(a, b History, aEnd, bEnd LSN) LSN {
	common := 0
	for common < len(a) && common < len(b) && a[common] == b[common] {
		common++
	}
	limit := min(aEnd, bEnd)
	if common < len(a) {
		limit = min(limit, a[common].Start)
	}
	if common < len(b) {
		limit = min(limit, b[common].Start)
	}
	if common == 0 {
		return 0
	}
	return limit
}

// Includes reports whether a log that ends at end is part of the history, as far as the
// history tells: a term that is newer than the last one listed may be part of it.
func (h History) Includes(end Position) bool {
	return len(h) == 0 || h[len(h)-1].Term.Less(end.Term) || h.Contains(end)
}

// Reaches reports whether a log that ends at end is part of the history and has every entry
// with which the last listed term began.
func (h History) Reaches(end Position) bool {
	return h.Includes(end) && (len(h) == 0 || end.LSN >= h[len(h)-1].Start)
}

// CompareEnds orders logs by their ends, for the choice of the next primary: -1, 0 or 1 if
// the log that ends at a is behind, equal to or ahead of the one that ends at b. A log
// whose end the history does not include is behind every log that is part of it, however
// long it is: its last entries were given up when a later term began, and sessions have
// gone on without them. Without a history, the order is that of Position.Compare.
func (h History) CompareEnds(a, b Position) int {
	switch inA, inB := h.Includes(a), h.Includes(b); {
	case inA && !inB:
		return 1
	case inB && !inA:
		return -1
	}
	return a.Compare(b)
}

// Extend returns the history of the log of a primary that leads the term t and whose log
// ended at end before that. Terms that are not part of that log are dropped.
func (h History) Extend(t Term, end Position) History {
	var kept History
	for _, s := range h {
		if s.Term.Compare(end.Term) <= 0 && s.Start <= end.LSN {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		kept = append(kept, TermStart{Term: end.Term})
	} else if kept[len(kept)-1].Term.Less(end.Term) {
		// The start of that term is not known; it was at the end at the latest.
		kept = append(kept, TermStart{Term: end.Term, Start: end.LSN})
	}
	return kept.Append(t, end.LSN)
}
