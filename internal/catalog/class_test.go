package catalog

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against priorities that are taken for classes as they are: gaps between them would
// reserve tokens for classes that do not exist.
func TestClassify(t *testing.T) {
	g := NewWithT(t)
	c := &Config{Routes: map[string]*Route{"a": {Priority: 30}, "b": {Priority: -2}, "c": {Priority: 5}, "d": {Priority: 5}}}
	c.Classify()
	for name, class := range map[string]Class{"b": 0, "c": 1, "d": 1, "a": 2} {
		g.Expect(c.Routes[name].Class).To(Equal(class), name)
	}
	for i := range 20 {
		c.Routes[string(rune('e'+i))] = &Route{Priority: 100 + i}
	}
	c.Classify()
	g.Expect(c.Routes["x"].Class).To(Equal(MaxClass))
}
