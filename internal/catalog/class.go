package catalog

import "slices"

// Class is how important work is, relative to the other work of a configuration: 0 is the
// most important class. Classes are consecutive, whatever numbers the priorities have.
type Class int

// MaxClass is the highest class. Less important routes belong to it too, so that what is kept
// for each class stays bounded.
const MaxClass Class = 7

// Classify sets the classes of the routes from their priorities. If all routes have the same
// priority there is one class.
func (c *Config) Classify() {
	var priorities []int
	for _, route := range c.Routes {
		priorities = append(priorities, route.Priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for _, route := range c.Routes {
		rank, _ := slices.BinarySearch(priorities, route.Priority)
		route.Class = min(MaxClass, Class(rank))
	}
}
