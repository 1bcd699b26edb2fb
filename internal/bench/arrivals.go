package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Arrivals yields the intended send times of an open-loop load. They do not
// depend on answers, so latency counted from them includes the time that a
// request waited behind slow ones.
type Arrivals struct {
	next  time.Time
	mean  time.Duration
	delay func() time.Duration
}

// NewConstant returns arrivals at equal intervals; perSecond must be positive.
func NewConstant(start time.Time, perSecond float64) (*Arrivals, error) {
	a, err := newArrivals(start, perSecond)
	if err != nil {
		return nil, err
	}
	a.delay = func() time.Duration { return a.mean }
	return a, nil
}

// NewPoisson returns arrivals with exponentially distributed intervals from a
// seeded source; perSecond must be positive.
func NewPoisson(start time.Time, perSecond float64, seed uint64) (*Arrivals, error) {
	a, err := newArrivals(start, perSecond)
	if err != nil {
		return nil, err
	}
	source := rand.New(rand.NewPCG(seed, 0))
	a.delay = func() time.Duration {
		return time.Duration(source.ExpFloat64() * float64(a.mean))
	}
	return a, nil
}

func newArrivals(start time.Time, perSecond float64) (*Arrivals, error) {
	mean := time.Duration(float64(time.Second) / perSecond)
	if perSecond <= 0 || mean <= 0 {
		return nil, fmt.Errorf("arrivals: rate is %g per second, expected above 0 and at most 1e9", perSecond)
	}
	return &Arrivals{next: start, mean: mean}, nil
}

// Next returns the next intended send time.
func (a *Arrivals) Next() time.Time {
	at := a.next
	a.next = at.Add(a.delay())
	return at
}
