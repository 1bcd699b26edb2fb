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

	// Guards against a host that owns as much as one with four times its processor.
	It("gives hosts keys in proportion to their capacity", func() {
		first := map[string]int{}
		const keys = 4000
		for key := range keys {
			all := []Host{{Name: "a", Capacity: 0.8}, {Name: "b", Capacity: 0.2}, {Name: "c", Capacity: 0.2}, {Name: "d", Capacity: 0.2}}
			Rank(all, fmt.Sprint(key))
			first[all[0].Name]++
		}
		Expect(first["a"]).To(BeNumerically("~", keys*0.8/1.4, 150))
		for _, name := range []string{"b", "c", "d"} {
			Expect(first[name]).To(BeNumerically("~", keys*0.2/1.4, 100))
		}
	})

	// Guards against owners that all change because hosts that are alike begin to say what they
	// have.
	It("orders hosts with equal capacities as without any", func() {
		for key := range 200 {
			var plain, equal []Host
			for i := range 10 {
				plain = append(plain, Host{Name: fmt.Sprintf("h%d", i)})
				equal = append(equal, Host{Name: fmt.Sprintf("h%d", i), Capacity: 0.4})
			}
			Rank(plain, fmt.Sprint(key))
			Rank(equal, fmt.Sprint(key))
			for i := range plain {
				Expect(equal[i].Name).To(Equal(plain[i].Name))
			}
		}
	})
})
