package share

import "time"

// ShortConfig returns settings with short validities, so that random histories
// last longer than base grants.
func ShortConfig(kind Kind) Config {
	cfg := RateConfig()
	if kind == Units {
		cfg = UnitsConfig()
	}
	cfg.BaseValidity = 20 * time.Second
	cfg.DynamicValidity = 2 * time.Second
	return cfg
}

// FullRefill disables the reduced refill that protects against fast clocks.
func (c *Config) FullRefill() { c.refillFactor = 1 }

// SkipWait makes new owners ignore the grants of earlier epochs.
func (c *Config) SkipWait() { c.skipWait = true }

// NoMargin makes owners ignore the margin after a validity, and holders the time
// that closing a connection takes.
func (c *Config) NoMargin() { c.margin, c.CloseTime = 0, 0 }

// KeepExpired makes holders use expired grants and return their tokens.
func (c *Config) KeepExpired() { c.keepExpired = true }

// ReturnExpired makes holders return the tokens of expired grants, and owners accept
// them.
func (c *Config) ReturnExpired() { c.returnExpired = true }

// WaterLevel exports waterLevel to tests.
var WaterLevel = waterLevel
