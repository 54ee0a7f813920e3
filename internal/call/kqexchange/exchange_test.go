package kqexchange_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqexchange"
)

var now = time.Unix(1000, 0)

func ExampleExchange() {
	var e kqexchange.Exchange
	e.Receive(now)
	fmt.Println(e.Phase(), e.IsUnanswered(), e.Age(now.Add(time.Second)))
	e.Serve()
	e.Handled()
	fmt.Println(e.Phase(), e.IsUnanswered())
	e.Send()
	fmt.Println(e.Phase(), e.IsUnanswered())
	e.Await()
	fmt.Println(e.Phase(), e.IsUnanswered())
	// Output:
	// receiving true 1s
	// responding true
	// responding false
	// idle false
}

// Guards against a leave that waits for connections whose requests were answered without a handler.
func TestAnsweredWithoutAHandlerIsIdle(t *testing.T) {
	var e kqexchange.Exchange
	e.Receive(now)
	e.Await()
	if e.Phase() != kqexchange.Receiving {
		t.Errorf("phase %v while the rest of the request is awaited", e.Phase())
	}
	e.Send()
	e.Await()
	if e.Phase() != kqexchange.Idle {
		t.Errorf("phase %v after the response", e.Phase())
	}
}

func ExampleCount() {
	var idle, old, served kqexchange.Exchange
	old.Receive(now.Add(-time.Minute))
	served.Receive(now)
	served.Serve()
	var c kqexchange.Count
	for _, e := range []*kqexchange.Exchange{&idle, &old, &served} {
		c.Add(e, now)
	}
	fmt.Println(c.Total(), c.Receiving, c.Serving, c.Oldest)
	// Output: 2 1 1 1m0s
}
