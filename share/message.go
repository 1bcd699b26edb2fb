package share

import (
	"errors"
	"fmt"
	"math"
	"time"
)

var (
	// ErrOldCall refuses a call that is not newer than the last one handled.
	ErrOldCall = errors.New("call is older than one already handled")
	// ErrOldEpoch refuses a call to an owner that a later epoch has replaced.
	ErrOldEpoch = errors.New("owner was replaced in a later epoch")
	// ErrMalformed refuses a message with a value out of its range.
	ErrMalformed = errors.New("malformed share message")
)

// Class distinguishes long-lived grants from those that follow the demand.
type Class int

// The classes of grants.
const (
	// Base grants have a long validity, so that an isolated host can go on
	// serving.
	Base Class = iota
	// Dynamic grants have a short validity and follow the demand.
	Dynamic

	classCount = 2
)

// Limit is an amount of a resource, such as the limit of the whole fleet.
type Limit struct {
	// Rate is in tokens per second; 0 for units.
	Rate float64
	// Capacity is the burst in tokens, or the number of units.
	Capacity float64
}

// Grant is the part of the limit that an owner gives to a holder for a time.
type Grant struct {
	// ID identifies a rate and capacity within an epoch; a renewal keeps it.
	ID       uint64
	Epoch    uint64
	Class    Class
	Rate     float64
	Capacity float64
	// Level is the tokens that an answer adds, or that a call reports or
	// returns.
	Level float64
	// Limit is the fleet's limit when the grant was issued. A later owner does
	// not extend a grant that was issued under a higher limit than its own.
	Limit Limit
	// Validity is measured on the clock of the holder, from before it sent the
	// call.
	Validity time.Duration
}

// HolderID identifies one process on one host.
type HolderID struct {
	Host string
	// Incarnation is higher for a later process of the same host.
	Incarnation uint64
}

// Call is what a holder sends to the owner.
type Call struct {
	Holder HolderID
	// Epoch is the highest epoch that the holder has seen.
	Epoch uint64
	// Sequence is higher for each later call of the holder.
	Sequence uint64
	// Wanted is the tokens per second, or units, that the holder could use.
	Wanted float64
	// Unmet is the number of requests that were refused since the last call, or
	// that wait for a unit now.
	Unmet float64
	// Held lists all grants that the holder uses from this call on.
	Held []Grant
	// Returned lists grants of which the holder returns tokens; Level is their
	// number.
	Returned []Grant
	// Leaving is true if the holder wants no grants in the answer.
	Leaving bool
}

// Answer is the full set of grants that the holder may use from now on.
type Answer struct {
	Epoch    uint64
	Sequence uint64
	Grants   []Grant
}

// maxAmount is the largest accepted amount. It is far above any rate or burst and
// keeps sums finite.
const maxAmount = 1e12

func checkAmount(field string, value float64) error {
	if math.IsNaN(value) || value < 0 || value > maxAmount {
		return fmt.Errorf("%w: %s is %g, expected 0 to %g", ErrMalformed, field, value, float64(maxAmount))
	}
	return nil
}

func (g Grant) validate() error {
	if g.Class != Base && g.Class != Dynamic {
		return fmt.Errorf("%w: grant class is %d", ErrMalformed, g.Class)
	}
	if g.Validity < 0 {
		return fmt.Errorf("%w: grant validity is %s", ErrMalformed, g.Validity)
	}
	return errors.Join(
		checkAmount("grant rate", g.Rate),
		checkAmount("grant capacity", g.Capacity),
		checkAmount("grant level", g.Level),
		checkAmount("grant limit rate", g.Limit.Rate),
		checkAmount("grant limit capacity", g.Limit.Capacity),
	)
}

// validateGrants checks each grant and that no class has two.
func validateGrants(field string, grants []Grant) error {
	var seen [classCount]bool
	for _, g := range grants {
		if err := g.validate(); err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
		if seen[g.Class] {
			return fmt.Errorf("%s: %w: two grants of class %d", field, ErrMalformed, g.Class)
		}
		seen[g.Class] = true
	}
	return nil
}

func (c *Call) validate() error {
	for _, g := range c.Returned {
		if err := g.validate(); err != nil {
			return fmt.Errorf("returned: %w", err)
		}
	}
	return errors.Join(
		checkAmount("wanted", c.Wanted),
		checkAmount("unmet", c.Unmet),
		validateGrants("held", c.Held),
	)
}
