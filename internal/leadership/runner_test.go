package leadership

import (
	"testing"
	"time"
)

// Guards against hosts that start together and then all leave the store unread for so
// long that an outage ends their leases: a fleet of nine lost them after 15 s, of which
// the outage took 5.5 s.
func TestReadsOfHostsThatStartTogetherAreSpread(t *testing.T) {
	for _, fleet := range []int{9, 84, 195} {
		for range 200 {
			earliest := time.Hour
			for range fleet {
				earliest = min(earliest, readInterval(fleet, true))
			}
			if earliest > maxStoreSilence {
				t.Fatalf("%d hosts: the first read comes after %v", fleet, earliest)
			}
			if next := readInterval(fleet, false); next < time.Duration(fleet)*fleetReadInterval/2 {
				t.Fatalf("%d hosts: the next read of a host comes after %v", fleet, next)
			}
		}
	}
}
