package kqlease_test

import (
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqlease"
)

// The first member of a domain without readers looks for a free slot; with the
// lease in hand it renews after a third of its time, and gives up if it wakes late.
func ExampleHolder() {
	var h kqlease.Holder
	now := time.Unix(0, 0)
	fmt.Println(h.Next(kqlease.Situation{}, now))
	h.Renewed(now)
	fmt.Println(h.Next(kqlease.Situation{}, now.Add(kqlease.TTL/3)))
	fmt.Println(h.Next(kqlease.Situation{}, now.Add(kqlease.TTL)))
	// Output:
	// look
	// renew
	// give_up
}
