package share

import (
	"testing"
	"time"
)

// idleHolder returns a holder with a full base grant and no demand.
func idleHolder(t *testing.T) (*Holder, Grant, time.Time) {
	now := time.Unix(1000, 0)
	h := NewHolder(RateConfig(), HolderID{Host: "h1"})
	limit := Limit{Rate: 10000, Capacity: 10000}
	grant := Grant{ID: 1, Epoch: 1, Class: Base, Limit: limit, Rate: 1250, Capacity: 1250, Validity: 10 * time.Minute}
	call := h.Call(now)
	if ok, err := h.Apply(Answer{Sequence: call.Sequence, Epoch: 1, Grants: []Grant{grant}}, now); !ok || err != nil {
		t.Fatalf("apply: %v, %v", ok, err)
	}
	now = now.Add(time.Minute)
	if got := h.Tokens(now); got != grant.Capacity {
		t.Fatalf("%v tokens before the call", got)
	}
	return h, grant, now
}

// Guards against an idle host that refuses a second request within a millisecond for as
// long as no host owns the resource: each call gave the spare tokens of its base grant
// back, and nobody took them.
func TestACallThatTheOwnerDidNotTakeReturnsNothing(t *testing.T) {
	h, grant, now := idleHolder(t)
	for range 5 {
		call := h.Call(now)
		h.CallNotRun(call.Sequence, now)
		if got := h.Tokens(now); got != grant.Capacity {
			t.Fatalf("%v of %v tokens after a call that was not taken", got, grant.Capacity)
		}
		now = now.Add(time.Second)
	}
}

// Guards against tokens that exist twice: an owner may have taken a call whose answer was
// lost.
func TestACallWithoutAnAnswerReturnsItsTokens(t *testing.T) {
	h, _, now := idleHolder(t)
	call := h.Call(now)
	h.CallFailed(call.Sequence)
	h.CallNotRun(call.Sequence, now)
	now = now.Add(time.Minute)
	if got := h.Tokens(now); got > 1 {
		t.Errorf("%v tokens, although all but one may be at the owner", got)
	}
}

// Guards against tokens of a released grant that are lost with a call that was not taken.
func TestACallThatTheOwnerDidNotTakeKeepsReleasedTokens(t *testing.T) {
	h, grant, now := idleHolder(t)
	h.release(Base, 7, now)
	call := h.Call(now)
	h.CallNotRun(call.Sequence, now)
	again := h.Call(now)
	if len(again.Returned) != len(call.Returned) || again.Returned[0].Level != 7 || again.Returned[0].ID != grant.ID {
		t.Errorf("returned %v, then %v", call.Returned, again.Returned)
	}
}
