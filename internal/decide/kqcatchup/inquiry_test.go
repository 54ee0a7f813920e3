package kqcatchup_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqcatchup"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against a key that is refused as unknown although an asked peer knows a newer version,
// or no peer has answered.
func TestConclusions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(0, 3).Draw(t, "peers")
		inForce := kqname.ConfigVersion(rapid.IntRange(0, 3).Draw(t, "in force"))
		i, answered, known := kqcatchup.New(peers), 0, kqname.ConfigVersion(0)
		pending := rapid.IntRange(0, peers).Draw(t, "pending")
		for range peers - pending {
			if rapid.Bool().Draw(t, "fails") {
				i.Failed()
				continue
			}
			v := kqname.ConfigVersion(rapid.IntRange(0, 3).Draw(t, "version"))
			i.Answered(v)
			answered, known = answered+1, max(known, v)
		}
		isFinal := rapid.Bool().Draw(t, "final")
		got := i.Conclude(inForce, isFinal)
		if got == kqcatchup.Newest && (answered == 0 || known > inForce || pending > 0 && !isFinal) {
			t.Fatalf("the version counts as the newest after %d answers of %d peers that know %d, %d in force", answered, peers, known, inForce)
		}
		if got == kqcatchup.Open && (isFinal || pending == 0) {
			t.Fatal("no conclusion although nothing is awaited")
		}
		if answered > 0 && known <= inForce && (isFinal || pending == 0) && got != kqcatchup.Newest {
			t.Fatalf("verdict %d, want the newest", got)
		}
	})
}

// Guards against waits that leave a call no time, and against more than four inquiries a second,
// also after the time of day was set back.
func TestTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	for deadline, want := range map[time.Time]time.Duration{
		{}: kqcatchup.MaxWait, now.Add(400 * time.Millisecond): 100 * time.Millisecond, now.Add(time.Minute): kqcatchup.MaxWait, now.Add(-time.Second): 0,
	} {
		if got := kqcatchup.Wait(now, deadline); got != want {
			t.Errorf("deadline %s: waits %s, want %s", deadline, got, want)
		}
	}
	for last, want := range map[time.Time]time.Duration{
		{}: 0, now.Add(-time.Second): 0, now.Add(-100 * time.Millisecond): 150 * time.Millisecond, now.Add(time.Hour): kqcatchup.Interval,
	} {
		if got := kqcatchup.StartAfter(last, now); got != want {
			t.Errorf("last at %s: starts after %s, want %s", last, got, want)
		}
	}
}
