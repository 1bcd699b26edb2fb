package failover

import (
	"fmt"
	"testing"
)

// The model compares two rules for acknowledging a write, in steps of 1 ms: confirmation by
// a majority of instances, and a time-limited write lease of the primary. The decision
// stands in docs/decisions/0001-write-acknowledgement.md.
const (
	modelWriteEvery    = 10   // ms between writes
	modelDelay         = 2    // ms one way between failure domains
	modelFaultAt       = 9501 // ms; half a renewal interval after the last renewal, and just after a write
	modelLease         = 3000 // ms on the primary's clock
	modelRenewEvery    = 1000 // ms
	modelMargin        = 0.02 // fraction of the lease that the coordinator waits in addition
	modelDetect        = 1000 // ms until the suspicion rule is met
	modelPromote       = 10   // ms to raise the term and promote
	modelDuration      = 20000
	modelIsolated      = "primary isolated"
	modelCrash         = "crash"
	modelPlatform      = "platform down"
	modelByMajority    = "majority"
	modelByLease       = "lease"
	modelNeverPromoted = modelDuration
)

type modelResult struct {
	acknowledged, lost int
	// gap is the time without a primary that can acknowledge writes, and overlap the time
	// in which two primaries can.
	gap, overlap int
}

// runModel simulates one fault under one rule. clockError is the fraction by which the
// primary's clock runs slower than real time.
func runModel(rule, fault string, clockError float64) modelResult {
	var r modelResult
	promotedAt := modelNeverPromoted
	lastRenewal := modelFaultAt - modelFaultAt%modelRenewEvery
	if fault != modelPlatform {
		promotedAt = modelFaultAt + modelDetect + modelPromote
		if rule == modelByLease {
			promotedAt = max(promotedAt, lastRenewal+int(modelLease*(1+modelMargin))+modelPromote)
		}
	}
	for now := range modelDuration {
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
		case !promoted && (!old || fault == modelIsolated && now >= modelFaultAt):
			// Callers outside the isolated part reach no primary.
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

// Guards against a lost write under majority confirmation, whatever the clock error, and
// against a gap in acknowledgements while the platform is down. A write lease must show
// both faults in the model; otherwise the reason to prefer majority confirmation does not
// hold.
func TestPromise2AcknowledgementModel(t *testing.T) {
	for _, fault := range []string{modelCrash, modelIsolated, modelPlatform} {
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
				if fault == modelIsolated && clockError > 0.03 && byLease.overlap == 0 {
					t.Errorf("lease: %+v", byLease)
				}
			})
		}
	}
}
