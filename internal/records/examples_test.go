package records_test

import (
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/records"
)

// Guards against example configurations that are invalid or don't have the
// connection limits and failure domains of the deployments they stand for.
var _ = DescribeTable("example records", func(name string, connections, domains int) {
	directory := filepath.Join("..", "..", "examples", name)
	raw, err := os.ReadFile(filepath.Join(directory, "records.json"))
	Expect(err).NotTo(HaveOccurred())
	list, err := records.ParseFile(raw)
	Expect(err).NotTo(HaveOccurred())
	snapshot, err := records.NewSet(list).Snapshot(1)
	Expect(err).NotTo(HaveOccurred())

	var settings struct {
		Domains []string `json:"failure_domains"`
	}
	raw, err = os.ReadFile(filepath.Join(directory, "settings.json"))
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(raw, &settings)).To(Succeed())
	Expect(settings.Domains).To(HaveLen(domains))

	Expect(snapshot.Databases).To(HaveLen(3))
	for _, db := range snapshot.Databases {
		Expect(db.ConnectionLimit).To(Equal(connections))
		Expect(db.Instances).To(HaveLen(3))
		seen := map[string]bool{}
		for _, in := range db.Instances {
			Expect(settings.Domains).To(ContainElement(in.Domain))
			seen[in.Domain] = true
		}
		Expect(seen).To(HaveLen(3), "a failure domain holds two instances of %s", db.Name)
	}
	Expect(snapshot.Accounts).To(HaveLen(8))
	open := 0
	for _, route := range snapshot.Routes {
		if route.Open {
			open++
		}
	}
	Expect(open).To(Equal(1))
},
	Entry("cooperative", "cooperative", 20, 4),
	Entry("snow", "snow", 35, 3),
)
