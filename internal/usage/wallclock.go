package usage

import (
	"slices"
	"time"
)

// followTime is how long the time of day must have differed from the steady clock by the
// same amount before a WallClock follows it. A time of day that jumps and jumps back has no
// effect.
const followTime = 10 * time.Minute

// followTolerance is the difference up to which two offsets count as the same.
const followTolerance = 100 * time.Millisecond

// maxClockError is how far the time of day of a host may be off that has no others to compare
// it with.
const maxClockError = 15 * time.Second

// minVoices is the number of clocks, this host's included, that a correction needs: with
// three, the median is not moved by one that is wrong.
const minVoices = 3

// WallClock tells the time of day of a host whose own may jump. It goes by the steady clock
// from the first reading on, and by the median of its own and the collectors' clocks. Its
// caller serializes the calls.
type WallClock struct {
	started bool
	// offset is the time of day minus the steady clock.
	offset time.Duration
	// newOffset is another offset that the time of day has shown since changedAt.
	newOffset time.Duration
	changedAt time.Time
	// skews are how far the clocks of other hosts are ahead of this one.
	skews map[string]time.Duration
}

// Own returns the time by this host's clock alone, from a reading of the time of day and one
// of the steady clock.
func (c *WallClock) Own(wall, steady time.Time) time.Time {
	offset := time.Duration(wall.UnixNano() - steady.UnixNano())
	switch {
	case !c.started:
		c.started, c.offset = true, offset
	case (offset - c.offset).Abs() <= followTolerance:
		c.changedAt = time.Time{}
	case c.changedAt.IsZero() || (offset-c.newOffset).Abs() > followTolerance:
		c.newOffset, c.changedAt = offset, steady
	case steady.Sub(c.changedAt) >= followTime:
		c.offset, c.changedAt = offset, time.Time{}
	}
	return time.Unix(0, steady.UnixNano()+int64(c.offset))
}

// Now returns the time by the median of the known clocks.
func (c *WallClock) Now(wall, steady time.Time) time.Time {
	return c.Own(wall, steady).Add(c.correction())
}

// At returns the time by the median of the known clocks at a reading of the steady clock, and
// whether enough clocks are known for one wrong clock not to matter.
func (c *WallClock) At(steady time.Time) (at time.Time, certain bool) {
	return time.Unix(0, steady.UnixNano()+int64(c.offset)).Add(c.correction()), len(c.skews)+1 >= minVoices
}

// Compare records how far another host's clock is ahead of this one's.
func (c *WallClock) Compare(host string, skew time.Duration) {
	if c.skews == nil {
		c.skews = map[string]time.Duration{}
	}
	c.skews[host] = skew
}

// Keep drops the clocks of all hosts but the given ones.
func (c *WallClock) Keep(hosts []string) {
	for host := range c.skews {
		if !slices.Contains(hosts, host) {
			delete(c.skews, host)
		}
	}
}

func (c *WallClock) correction() time.Duration {
	voices := []time.Duration{0}
	for _, skew := range c.skews {
		voices = append(voices, skew)
	}
	if len(voices) < minVoices {
		return 0
	}
	slices.Sort(voices)
	return voices[(len(voices)-1)/2]
}
