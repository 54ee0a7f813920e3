package kqlease_test

import (
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqlease"
)

// The first member of a domain without readers tries to acquire a vacant reader lease.
// Once it holds the lease, it renews it after a third of the TTL, and gives it up if it was
// paused for too long.
func ExampleHolder() {
	var h kqlease.Holder
	now := time.Unix(0, 0)
	fmt.Println(h.Next(kqlease.Situation{}, now))
	h.RecordRenewal(now)
	fmt.Println(h.Next(kqlease.Situation{}, now.Add(kqlease.TTL/3)))
	fmt.Println(h.Next(kqlease.Situation{}, now.Add(kqlease.TTL)))
	// Output:
	// look
	// renew
	// give_up
}
