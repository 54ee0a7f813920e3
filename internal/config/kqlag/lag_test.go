package kqlag_test

import (
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqlag"
)

func ExampleLag() {
	var l kqlag.Lag
	start := time.Unix(0, 0)
	l.Announced(2, start)
	l.PullFailed()
	l.Announced(3, start.Add(100*time.Millisecond))
	l.RootReceived(3, "10.0.0.1:7380", start.Add(200*time.Millisecond))
	r, ok := l.InForce(3, start.Add(time.Second))
	fmt.Println(ok, r.Version, r.Behind, r.Skipped, r.FailedPulls, r.RootAfter.Round(time.Millisecond))
	_, ok = l.InForce(3, start.Add(2*time.Second))
	fmt.Println(ok)
	// Output:
	// true 3 1s 1 1 200ms
	// false
}
