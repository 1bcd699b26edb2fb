package quota

import (
	"math"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
)

// An account that asks for more than its limit gets the tokens in the order of its classes:
// a less important operation leaves the tokens that more important ones are expected to ask
// for. No class starves, because some of its operations count as the most important.

const (
	// reserveTime is the time for whose expected operations of more important classes tokens
	// are left. The bucket refills meanwhile.
	reserveTime = 100 * time.Millisecond
	// floorInterval is the number of operations of a class that are refused for the sake of
	// more important ones until one may use any token.
	floorInterval = 10
	// classDemandWindow is the time constant of the moving average of a class's demand.
	classDemandWindow = time.Second
	// maxLenderWait is the longest wait reported to a borrower.
	maxLenderWait = 500 * time.Millisecond
	// minClassShare is the least part of the rate that is assumed to be left for a class when
	// its wait is estimated.
	minClassShare = 0.1
)

// classes holds the state of an account's classes. Few accounts have more than one.
type classes []classState

// classState is what an account's bucket keeps for one class.
type classState struct {
	demand    float64
	updatedAt time.Time
	// refused counts the refusals for the sake of other classes since the last one that was
	// not one.
	refused int
	// returns are the times at which borrowers that were refused were told to come back.
	returns []time.Time
}

// class returns the state of a class.
func (a *account) class(class catalog.Class) *classState {
	class = min(max(class, 0), catalog.MaxClass)
	for len(a.classes) <= int(class) {
		a.classes = append(a.classes, classState{})
	}
	return &a.classes[class]
}

// arrive counts an operation in the demand of its class, in operations per second.
func (c *classState) arrive(now time.Time) {
	c.decay(now)
	c.demand += 1 / classDemandWindow.Seconds()
}

func (c *classState) decay(now time.Time) {
	if elapsed := now.Sub(c.updatedAt); elapsed > 0 {
		c.demand *= math.Exp(-elapsed.Seconds() / classDemandWindow.Seconds())
		c.updatedAt = now
	}
}

// demandAbove returns the demand of the classes that are more important than the given one.
func (a *account) demandAbove(class catalog.Class, now time.Time) float64 {
	demand := 0.0
	for i := range a.classes[:min(int(class), len(a.classes))] {
		a.classes[i].decay(now)
		demand += a.classes[i].demand
	}
	return demand
}

// needed returns the number of tokens that must be there for an operation of a class.
func (a *account) needed(class catalog.Class, now time.Time) float64 {
	return 1 + a.demandAbove(class, now)*reserveTime.Seconds()
}

// take takes a token for an operation of a class. The bucket has been refilled.
func (a *account) take(class catalog.Class, now time.Time) bool {
	c := a.class(class)
	c.arrive(now)
	if a.tokens < 1 {
		return false
	}
	if a.tokens < a.needed(class, now) {
		c.refused++
		if c.refused < floorInterval {
			return false
		}
	}
	c.refused = 0
	a.tokens--
	return true
}

// classRate returns the rate at which tokens become free for a class, per second.
func (a *account) classRate(class catalog.Class, now time.Time) float64 {
	rate := a.limit.rate * a.usableFraction(now)
	return max(rate-a.demandAbove(class, now), minClassShare*rate)
}

// tokenWait returns how long it takes until a token is available for a class.
func (a *account) tokenWait(class catalog.Class, now time.Time) time.Duration {
	rate := a.classRate(class, now)
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(max(0, a.needed(class, now)-a.tokens) / rate * float64(time.Second))
}

// returnTime returns after what time a refused borrower finds a token, if those that were
// refused before it come back first. Without this order all borrowers of an overloaded
// account would ask again for each token, and the lender would be busy with refusals.
func (a *account) returnTime(class catalog.Class, now time.Time) time.Duration {
	c := a.class(class)
	for len(c.returns) > 0 && !c.returns[0].After(now) {
		c.returns = c.returns[1:]
	}
	rate := a.classRate(class, now)
	if rate <= 0 {
		return maxLenderWait
	}
	inLine := time.Duration(float64(len(c.returns)) / rate * float64(time.Second))
	wait := min(maxLenderWait, max(minLenderWait, a.tokenWait(class, now)+inLine))
	if at := now.Add(wait); len(c.returns) == 0 || !at.Before(c.returns[len(c.returns)-1]) {
		c.returns = append(c.returns, at)
	}
	return wait
}
