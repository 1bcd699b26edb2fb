package usage

import "time"

const (
	// turnDelay separates the attempts of the first hosts to take the duty, and othersDelay
	// and othersStep those of the rest.
	turnDelay   = time.Second
	firstHosts  = 3
	othersDelay = 4 * time.Second
	othersStep  = 100 * time.Millisecond
	// incompleteShare is the share of the report time after which a window is sealed without
	// the counts of hosts that did not answer, and lastShare the one after which it is sealed
	// whatever is missing.
	incompleteShare = 0.5
	lastShare       = 0.8
	// minCoverage is the share of the hosts whose counts a holder needs before it seals an
	// incomplete window. One that has fewer is probably cut off from the others.
	minCoverage = 0.5
)

// action is what the holder of the duty does about a window.
type action int

const (
	actionWait action = iota
	actionSeal
	// actionYield gives the duty to a host that reaches more of the others.
	actionYield
)

// decide returns what to do about a window that ended some time ago and for which the counts
// of some of the expected hosts are missing.
func (p Policy) decide(sinceEnd time.Duration, expected, missing int) action {
	share := float64(sinceEnd) / float64(p.ReportTime)
	switch {
	case sinceEnd < settleTime:
		return actionWait
	case missing == 0 || share >= lastShare:
		return actionSeal
	case share < incompleteShare:
		return actionWait
	case float64(expected-missing) >= minCoverage*float64(expected):
		return actionSeal
	}
	return actionYield
}

// isTurn reports whether the host at a position in the order of the fleet may take the duty
// for a window that ended some time ago and that is not known to be reported.
func isTurn(rank int, sinceEnd time.Duration) bool {
	if rank < firstHosts {
		return sinceEnd >= settleTime+time.Duration(rank)*turnDelay
	}
	return sinceEnd >= othersDelay+time.Duration(rank)*othersStep
}
