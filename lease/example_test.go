package lease_test

import (
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/lease"
)

func Example() {
	clock := lease.New(lease.DefaultMargin)
	sent := time.Now()
	// Here the request is sent to the grantor, which answers with a time to live.
	clock.Renew(sent, 3*time.Second)

	fmt.Println("right away:", clock.Valid(sent))
	fmt.Println("before the margin:", clock.Valid(sent.Add(2900*time.Millisecond)))
	fmt.Println("after a pause of 3 s:", clock.Valid(sent.Add(3*time.Second)))
	// Output:
	// right away: true
	// before the margin: true
	// after a pause of 3 s: false
}
