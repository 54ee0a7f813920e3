package kqreclaim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

var now = time.Unix(1000, 0)

// candidate is a client without progress for the time.
func candidate(name string, s kqreclaim.State, held int, stalled time.Duration) kqreclaim.Candidate[string] {
	return kqreclaim.Candidate[string]{Client: name, State: s, Held: held, Since: now.Add(-stalled)}
}

func names(list []kqreclaim.Candidate[string]) (names []string) {
	for _, c := range list {
		names = append(names, c.Client)
	}
	return names
}

func ExampleForMemory() {
	list := []kqreclaim.Candidate[string]{
		candidate("sends on", kqreclaim.Receiving, 8<<20, 100*time.Millisecond),
		candidate("served", kqreclaim.Serving, 8<<20, time.Minute),
		candidate("stopped 2 s ago", kqreclaim.Receiving, 2<<20, 2*time.Second),
		candidate("does not read", kqreclaim.Sending, 2<<20, 5*time.Second),
		candidate("stopped 3 s ago", kqreclaim.Receiving, 2<<20, 3*time.Second),
	}
	fmt.Println(names(kqreclaim.ForMemory(list, 3<<20, now)))
	// Output: [does not read stopped 3 s ago]
}

// Guards against clients that give way for nothing: what they hold is less than what is needed.
func TestNobodyGivesWayForNothing(t *testing.T) {
	list := []kqreclaim.Candidate[string]{candidate("a", kqreclaim.Receiving, 2<<20, time.Minute), candidate("b", kqreclaim.Idle, 0, time.Minute)}
	if got := kqreclaim.ForMemory(list, 3<<20, now); len(got) > 0 {
		t.Errorf("%v give way, want nobody", names(got))
	}
}

// A crowd keeps all connections. The idle ones are closed first, those without any use for longest,
// then those that make no progress; never those that make progress, are served or have just connected.
func TestConnectionsAreTakenFromTheIdle(t *testing.T) {
	var list []kqreclaim.Candidate[string]
	for i := range 100 {
		list = append(list, candidate(fmt.Sprint("idle ", i), kqreclaim.Idle, 0, time.Second+time.Duration(i)*time.Millisecond))
	}
	list = append(list, candidate("just connected", kqreclaim.Idle, 0, 900*time.Millisecond),
		candidate("stalled", kqreclaim.Receiving, 1<<20, time.Minute), candidate("unread", kqreclaim.Sending, 1<<20, time.Hour),
		candidate("sends on", kqreclaim.Receiving, 1<<20, time.Millisecond), candidate("served", kqreclaim.Serving, 1<<20, time.Hour))
	closed := make(map[string]bool)
	for {
		chosen := kqreclaim.ForConnections(append([]kqreclaim.Candidate[string](nil), list...), now)
		if len(chosen) == 0 {
			break
		}
		if len(chosen) > kqreclaim.Batch {
			t.Fatalf("%d connections are closed at once, want %d at most", len(chosen), kqreclaim.Batch)
		}
		for i, c := range chosen {
			if want := fmt.Sprint("idle ", 99-len(closed)-i); len(closed)+i < 100 && c.Client != want {
				t.Fatalf("%q is closed, want %q", c.Client, want)
			}
		}
		var left []kqreclaim.Candidate[string]
		for _, name := range names(chosen) {
			closed[name] = true
		}
		for _, c := range list {
			if !closed[c.Client] {
				left = append(left, c)
			}
		}
		list = left
	}
	if len(closed) != 102 || closed["sends on"] || closed["served"] || closed["just connected"] {
		t.Errorf("%d connections are closed, %v are left; want 102 and those with progress", len(closed), names(list))
	}
}

// Guards against upstreams' slots that are kept for clients that do not read their responses.
func TestUnreadResponsesTimeOut(t *testing.T) {
	list := []kqreclaim.Candidate[string]{
		candidate("unread", kqreclaim.Sending, 0, 10*time.Second), candidate("reads slowly", kqreclaim.Sending, 0, 9*time.Second),
		candidate("served", kqreclaim.Serving, 0, time.Hour), candidate("idle", kqreclaim.Idle, 0, time.Hour),
	}
	if got := names(kqreclaim.ForTimeout(list, 10*time.Second, now)); len(got) != 1 || got[0] != "unread" {
		t.Errorf("%v give way, want the client that has not read for the timeout", got)
	}
}
