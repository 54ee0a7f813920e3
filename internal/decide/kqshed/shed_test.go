package kqshed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqshed"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// caller is one who asks, and asks again when refused.
type caller struct {
	at    time.Time
	tries int
}

// Callers ask for two and a half times what a service can do. Who is refused comes back,
// and can then only be answered late. The entry refused callers at random, many who asked
// for the first time among them, while gates were left with callers who came back: a
// quarter of all answers were late, although there were callers enough who could have been
// answered in time.
func TestThoseWhoCanBeInTimeAreNotShedForOthers(t *testing.T) {
	const (
		tick    = 25 * time.Millisecond
		fewest  = 2 // new callers a tick, and in every second one more
		away    = 300 * time.Millisecond
		tries   = 3
		seconds = 30
	)
	s, random, now := kqshed.New(), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	var coming []caller
	asked, inTime, late, free := 0, 0, 0, 0
	for range seconds * int(time.Second/tick) {
		now = now.Add(tick)
		for range fewest + random.IntN(2) {
			coming = append(coming, caller{at: now})
			asked++
		}
		// Each tick the gates have room for one, and take one who can be in time first.
		var gated []caller
		var refused []caller
		coming = slices.DeleteFunc(coming, func(c caller) bool {
			if c.at.After(now) {
				return false
			}
			if s.Refuse(kqdocument.ClassBackground, c.tries > 0, now, random) {
				refused = append(refused, c)
			} else {
				gated = append(gated, c)
			}
			return true
		})
		slices.SortStableFunc(gated, func(a, b caller) int { return a.tries - b.tries })
		switch {
		case len(gated) == 0:
			free++
		case gated[0].tries == 0:
			inTime++
		default:
			late++
		}
		for _, c := range gated[min(1, len(gated)):] {
			s.Refused(kqdocument.ClassBackground)
			refused = append(refused, c)
		}
		for _, c := range refused {
			if c.tries++; c.tries < tries {
				coming = append(coming, caller{at: now.Add(away), tries: c.tries})
			}
		}
	}
	t.Logf("%d asked, %d answered in time, %d late, room for %d left", asked, inTime, late, free)
	if late*20 > inTime {
		t.Errorf("%d of %d answers were late, want at most 1 in 20 where all can be in time", late, inTime+late)
	}
	if rooms := seconds * int(time.Second/tick); free*20 > rooms {
		t.Errorf("room for %d of %d calls was left, want at most 1 in 20", free, rooms)
	}
}
