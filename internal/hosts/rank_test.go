package hosts

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHosts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hosts")
}

var _ = Describe("Rank", func() {
	// Guards against a host that leaves and thereby moves the keys of other hosts, which
	// would replace most connections of the fleet.
	It("keeps the order of the remaining hosts when one leaves", func() {
		fleet := func(without int) []Host {
			var out []Host
			for i := range 20 {
				if i != without {
					out = append(out, Host{Name: fmt.Sprintf("h%d", i)})
				}
			}
			return out
		}
		for key := range 50 {
			all := fleet(-1)
			Rank(all, fmt.Sprint(key))
			rest := fleet(7)
			Rank(rest, fmt.Sprint(key))
			var expected []Host
			for _, h := range all {
				if h.Name != "h7" {
					expected = append(expected, h)
				}
			}
			Expect(rest).To(Equal(expected))
		}
	})

	// Guards against one host that ranks first for most keys.
	It("spreads the keys evenly over the hosts", func() {
		first := map[string]int{}
		for key := range 1000 {
			all := []Host{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
			Rank(all, fmt.Sprint(key))
			first[all[0].Name]++
		}
		for _, count := range first {
			Expect(count).To(BeNumerically("~", 250, 75))
		}
	})
})
