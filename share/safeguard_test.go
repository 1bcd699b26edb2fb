package share_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/share"
)

// failureRecorder collects the failures of a property.
type failureRecorder struct {
	failed bool
	text   string
}

// violationFound runs random histories and returns the failure messages of those that
// break an invariant.
func violationFound(t *testing.T, cfg share.Config) string {
	r := &failureRecorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(recordingT{t, r}, func(t *rapid.T) { runHistory(t, cfg) })
	}()
	<-done
	return r.text
}

// recordingT records failures without failing the enclosing test.
type recordingT struct {
	*testing.T
	recorder *failureRecorder
}

func (q recordingT) Errorf(format string, args ...any) {
	q.recorder.failed = true
	q.recorder.text += fmt.Sprintf(format, args...)
}
func (q recordingT) Error(args ...any) { q.Errorf("%s", fmt.Sprint(args...)) }
func (q recordingT) Fail()             { q.recorder.failed = true }
func (q recordingT) FailNow()          { q.recorder.failed = true; runtime.Goexit() }
func (q recordingT) Fatalf(format string, args ...any) {
	q.Errorf(format, args...)
	runtime.Goexit()
}
func (q recordingT) Fatal(args ...any)   { q.Fatalf("%s", fmt.Sprint(args...)) }
func (q recordingT) Failed() bool        { return q.recorder.failed }
func (q recordingT) Logf(string, ...any) {}
func (q recordingT) Log(...any)          {}

// Guards against histories that are too weak to notice a missing safeguard: each
// safeguard is disabled in turn, and the histories must find a violation.
func TestHistoriesFindMissingSafeguards(t *testing.T) {
	full, skip := (*share.Config).FullRefill, (*share.Config).SkipWait
	back, keep := (*share.Config).ReturnExpired, (*share.Config).KeepExpired
	faults := []struct {
		name  string
		kind  share.Kind
		fault func(*share.Config)
	}{
		{"refill at the full rate", share.Rate, full},
		{"new owner does not wait", share.Rate, skip},
		{"tokens of expired grants are returned", share.Rate, back},
		{"expired rate is used", share.Rate, keep},
		{"new owner of units does not wait", share.Units, skip},
		{"expired units are used", share.Units, keep},
		{"units count without the margin", share.Units, (*share.Config).NoMargin},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			// Short mode too needs the full number of checks to find the violation.
			setFlag(t, "rapid.checks", "10000")
			cfg := share.ShortConfig(f.kind)
			f.fault(&cfg)
			NewWithT(t).Expect(violationFound(t, cfg)).To(Or(
				ContainSubstring("exceeds the ideal bucket"), ContainSubstring("units in use")))
		})
	}
}
