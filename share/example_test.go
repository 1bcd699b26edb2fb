package share_test

import (
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/share"
)

// A holder calls before it needs tokens, and the owner answers with a part of the
// rate. The owner waits until grants of an earlier epoch have expired.
func ExampleOwner() {
	cfg := share.RateConfig()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := share.Limit{Rate: 100, Capacity: 50}
	owner := share.NewOwner(cfg, 2, limit, 2, now)
	holder := share.NewHolder(cfg, share.HolderID{Host: "h1", Incarnation: 1})

	fmt.Println("before any grant:", holder.Admit(now))
	now = now.Add(3 * time.Second)
	if holder.Due(now) {
		answer, err := owner.Handle(holder.Call(now), now)
		if err != nil {
			fmt.Println(err)
			return
		}
		if _, err := holder.Apply(answer, now); err != nil {
			fmt.Println(err)
			return
		}
	}
	fmt.Println("after a grant:", holder.Admit(now))
	// Output:
	// before any grant: false
	// after a grant: true
}

// Units that the owner reclaims stay counted until the holder reports that
// their connections are closed.
func ExampleHolder_SetUse() {
	cfg := share.UnitsConfig()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := share.NewOwner(cfg, 1, share.Limit{Capacity: 4}, 2, now)
	first := share.NewHolder(cfg, share.HolderID{Host: "h1", Incarnation: 1})
	second := share.NewHolder(cfg, share.HolderID{Host: "h2", Incarnation: 1})
	exchange := func(h *share.Holder) {
		now = now.Add(100 * time.Millisecond)
		answer, err := owner.Handle(h.Call(now), now)
		if err == nil {
			_, err = h.Apply(answer, now)
		}
		if err != nil {
			fmt.Println(err)
		}
	}

	first.SetUse(0, 4, now)
	exchange(first)
	first.SetUse(first.Units(now), 0, now)
	second.SetUse(0, 2, now)
	exchange(second)
	fmt.Println("before closing:", first.Units(now), second.Units(now))
	exchange(first)
	first.SetUse(first.Units(now), 0, now)
	exchange(first)
	exchange(second)
	fmt.Println("after closing:", first.Units(now), second.Units(now))
	// Output:
	// before closing: 4 0
	// after closing: 2 2
}
