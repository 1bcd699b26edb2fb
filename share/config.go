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

// Config holds what owners and holders of a resource agree on.
type Config struct {
	Kind Kind
	// BaseFraction is the fraction of the limit for base grants, from 0 to 1.
	BaseFraction float64
	// BaseValidity and DynamicValidity are the validities of the two classes.
	BaseValidity    time.Duration
	DynamicValidity time.Duration
	// BaseRenewal is how often an idle holder renews its base grant.
	BaseRenewal time.Duration
	// CloseTime is how long before the end of its validity a unit is no longer
	// offered for use, so that its connection is closed in time.
	CloseTime time.Duration

	refillFactor float64
	margin       float64

	// Tests switch safeguards off with these.
	skipWait      bool
	keepExpired   bool
	returnExpired bool
}

// refillFactor and validityMargin cover clock rates that differ by 1%, with as
// much again in reserve.
const (
	refillFactor   = 0.98
	validityMargin = 0.02
)

// RateConfig returns the settings for rates. The base part was measured, see
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

// UnitsConfig returns the settings for units. Half of the units are base
// units, so that each of 9 hosts gets one of 20 connections. The dynamic
// validity outlasts the 3 s in which a control bucket can be without a holder,
// because a lapse closes connections that cost 10 to 30 ms to open again.
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

// validity returns the validity of a class.
func (c *Config) validity(class Class) time.Duration {
	if class == Base {
		return c.BaseValidity
	}
	return c.DynamicValidity
}

// counted returns how long the owner counts a grant of a class.
func (c *Config) counted(class Class) time.Duration {
	v := c.validity(class)
	return v + time.Duration(float64(v)*c.margin)
}
