package failover

import (
	"fmt"
	"testing"
)

// The model compares two rules for acknowledging a write, in steps of a
// millisecond: confirmation by a majority, and a time-limited write lease of
// the primary. docs/decisions/0001-write-acknowledgement.md uses its results.
const (
	modelWriteEvery  = 10   // ms between writes
	modelDelay       = 2    // ms one way between failure domains
	modelFaultAt     = 9501 // ms; half a renewal after the last one, and just after a write
	modelLease       = 3000 // ms on the primary's clock
	modelRenewEvery  = 1000 // ms
	modelMargin      = 0.02 // what the coordinator adds to the lease
	modelDetect      = 1000 // ms until the suspicion rule is met
	modelPromote     = 10   // ms for raise and promote
	modelEnd         = 20000
	modelCut         = "cut off"
	modelCrash       = "crash"
	modelPlatform    = "platform down"
	modelByMajority  = "majority"
	modelByLease     = "lease"
	modelNeverFailed = modelEnd
)

type modelResult struct {
	acknowledged, lost int
	// gap is the time without a primary that can acknowledge, and overlap the
	// time in which two can.
	gap, overlap int
}

// runModel runs one rule through one fault. clockError is how much slower than
// real time the primary's clock runs.
func runModel(rule, fault string, clockError float64) modelResult {
	var r modelResult
	promotedAt := modelNeverFailed
	lastRenewal := modelFaultAt - modelFaultAt%modelRenewEvery
	if fault != modelPlatform {
		promotedAt = modelFaultAt + modelDetect + modelPromote
		if rule == modelByLease {
			promotedAt = max(promotedAt, lastRenewal+int(modelLease*(1+modelMargin))+modelPromote)
		}
	}
	for now := range modelEnd {
		valid := now < modelFaultAt || float64(now-lastRenewal)*(1-clockError) < modelLease
		old := now < modelFaultAt || fault != modelCrash
		if rule == modelByLease {
			old = old && valid
		} else {
			old = old && (now+2*modelDelay < modelFaultAt || fault == modelPlatform)
		}
		switch promoted := now >= promotedAt; {
		case old && promoted:
			r.overlap++
		case !promoted && (!old || fault == modelCut && now >= modelFaultAt):
			// Callers outside the cut-off part have no primary.
			r.gap++
		}
		if now%modelWriteEvery != 0 || !old {
			continue
		}
		r.acknowledged++
		if received := now+modelDelay < modelFaultAt; fault != modelPlatform && !received {
			r.lost++
		}
	}
	return r
}

// Guards against the decision resting on a claim that the model contradicts:
// confirmation by a majority loses nothing at any clock error and serves on
// while the platform is down; a lease does neither.
func TestPromise2AcknowledgementModel(t *testing.T) {
	for _, fault := range []string{modelCrash, modelCut, modelPlatform} {
		for _, clockError := range []float64{0, 0.001, 0.01, 0.05, 0.2} {
			t.Run(fmt.Sprintf("Promise 2: %s, clock error %g", fault, clockError), func(t *testing.T) {
				majority := runModel(modelByMajority, fault, clockError)
				byLease := runModel(modelByLease, fault, clockError)
				t.Logf("majority %+v, lease %+v", majority, byLease)
				if majority.lost != 0 || majority.overlap != 0 {
					t.Errorf("majority: %+v", majority)
				}
				if fault == modelPlatform && (majority.gap != 0 || byLease.gap == 0) {
					t.Errorf("platform down: majority %+v, lease %+v", majority, byLease)
				}
				if fault != modelPlatform && byLease.lost == 0 {
					t.Errorf("lease loses no write: %+v", byLease)
				}
				if fault == modelCut && clockError > 0.03 && byLease.overlap == 0 {
					t.Errorf("lease: %+v", byLease)
				}
			})
		}
	}
}
