package share_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/share"
)

func TestMain(m *testing.M) {
	flag.Parse()
	checks := "10000"
	if testing.Short() {
		checks = "1000"
	}
	settings := map[string]string{
		"rapid.seed":       "20260101",
		"rapid.checks":     checks,
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "1s",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "share")
}

// Guards against any interleaving in which the fleet admits more than burst +
// rate * window.
func TestRateNeverExceedsIdealBucket(t *testing.T) {
	cfg := share.ShortConfig(share.Rate)
	rapid.Check(t, func(t *rapid.T) { history(t, cfg) })
}

// Guards against any interleaving in which more units are in use than the
// limit allows.
func TestUnitsNeverExceedLimit(t *testing.T) {
	cfg := share.ShortConfig(share.Units)
	rapid.Check(t, func(t *rapid.T) { history(t, cfg) })
}
