package revision_test

import (
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/revision"
)

func Example() {
	// The state is a text to which each change appends a word.
	fold := func(text, word string) string { return text + " " + word }
	host := revision.New(revision.Options{
		Domain:  "a",
		Domains: []string{"a", "b", "c"},
	}, fold)

	requestedAt := time.Now()
	host.Adopt(7, "snapshot")
	host.ConfirmByStore(requestedAt, requestedAt)
	fmt.Println(host.Apply(revision.Change[string]{Previous: 9, Revision: 12, Body: "later"}) == revision.Gap)
	fmt.Println(host.Apply(revision.Change[string]{Previous: 7, Revision: 9, Body: "next"}) == revision.Applied)
	fmt.Println(host.Revision(), host.State())

	// The store is unreachable, and a peer in another failure domain confirms.
	later := requestedAt.Add(30 * time.Second)
	fmt.Println("confirmed:", host.Confirmed(later))
	host.ConfirmByPeer(later, later.Add(-time.Second), revision.Confirmation{
		Domain: "b", Revision: 9, StoreAge: -1,
	})
	fmt.Println("confirmed:", host.Confirmed(later))
	// Output:
	// true
	// true
	// 9 snapshot next
	// confirmed: false
	// confirmed: true
}
