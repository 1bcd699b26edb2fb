package share

import "time"

// Kind says what a limit counts.
type Kind int

// The kinds of limits.
const (
	// Rate is requests per second with a burst.
	Rate Kind = iota
	// Units is whole units, such as connections.
	Units
)

// Config holds the settings that the owner and the holders of a resource share.
type Config struct {
	Kind Kind
	// BaseFraction is the fraction of the limit for base grants, from 0 to 1.
	BaseFraction float64
	// BaseValidity and DynamicValidity are how long a grant of each class is valid.
	BaseValidity    time.Duration
	DynamicValidity time.Duration
	// BaseRenewal is how often an idle holder renews its base grant.
	BaseRenewal time.Duration
	// CloseTime is how long before its grant expires a unit stops being usable, so
	// that its connection is closed before the owner stops counting the unit.
	CloseTime time.Duration

	refillFactor float64
	margin       float64

	// Tests disable safeguards with these fields.
	skipWait      bool
	keepExpired   bool
	returnExpired bool
}

// refillFactor and validityMargin allow for a 2% difference between clock rates,
// twice the 1% that is expected.
const (
	refillFactor   = 0.98
	validityMargin = 0.02
)

// RateConfig returns the settings for rates. Base grants may take a quarter of the
// limit; BenchmarkPolicy compares this with other fractions. The decision stands in
// docs/decisions/0002-share-base-part.md.
func RateConfig() Config {
	return Config{
		Kind:            Rate,
		BaseFraction:    0.25,
		BaseValidity:    10 * time.Minute,
		DynamicValidity: 2 * time.Second,
		BaseRenewal:     time.Minute,
		refillFactor:    refillFactor,
		margin:          validityMargin,
	}
}

// UnitsConfig returns the settings for units. Half of the units are for base
// grants, so that each of 9 hosts gets one of 20 connections. The dynamic
// validity is longer than the 3 s for which a control bucket may have no lease
// holder: an expired grant closes connections, and reopening one takes 10 to
// 30 ms.
func UnitsConfig() Config {
	return Config{
		Kind:            Units,
		BaseFraction:    0.5,
		BaseValidity:    10 * time.Minute,
		DynamicValidity: 10 * time.Second,
		BaseRenewal:     time.Minute,
		CloseTime:       250 * time.Millisecond,
		refillFactor:    refillFactor,
		margin:          validityMargin,
	}
}

// validity returns how long a holder may use a grant of a class.
func (c *Config) validity(class Class) time.Duration {
	if class == Base {
		return c.BaseValidity
	}
	return c.DynamicValidity
}

// countedValidity returns how long the owner counts a grant of a class: its
// validity and the margin for different clock rates.
func (c *Config) countedValidity(class Class) time.Duration {
	v := c.validity(class)
	return v + time.Duration(float64(v)*c.margin)
}
