package kqdocument

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxRollout bounds a rollout: it keeps two versions of a service running.
const maxRollout = 90 * 24 * time.Hour

var (
	// Times outside these are slips, such as a year of two digits or
	// milliseconds taken for seconds; some have no JSON form.
	earliest = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	latest   = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

func (c *checker) rollout(at string, r Rollout) {
	c.when(!kqname.Valid(r.From), at+".from", "is not a plain name")
	c.when(!kqname.Valid(r.To), at+".to", "is not a plain name")
	c.when(r.From == r.To, at+".to", "is the same version as from")
	c.instant(at+".start", r.Start)
	c.instant(at+".deadline", r.Deadline)
	c.when(!r.Deadline.After(r.Start), at+".deadline", "must be after start")
	c.when(r.Deadline.Sub(r.Start) > maxRollout, at+".deadline", "is more than 90 days after start")
}

// order checks a rollout that is ordered by its length.
func (c *checker) order(at string, r Rollout) {
	c.when(!kqname.Valid(r.To), at+".to", "is not a plain name")
	c.when(r.From != "" || !r.Start.IsZero() || !r.Deadline.IsZero(), at+".duration_ms", "stands beside from, start or deadline")
	c.when(r.DurationMS < 0 || time.Duration(r.DurationMS)*time.Millisecond > maxRollout, at+".duration_ms", "must be from 0 to 90 days")
}

func (c *checker) instant(path string, t time.Time) {
	c.when(t.Before(earliest) || !t.Before(latest), path, "must be in the years 2000 to 2199")
}

// sequence looks at each service's rollouts in the order of their starts. Two
// whose times meet are refused: each would count the other's traffic as its own
// old version, and both would be misled. So is one from a version that can not
// be serving by then: it would compare the new version with nothing.
func (c *checker) sequence(rollouts []Rollout, services map[kqname.Service]Service) {
	order := make([]int, len(rollouts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(rollouts[a].Start.Compare(rollouts[b].Start), cmp.Compare(a, b))
	})
	last := make(map[kqname.Service]int)
	served := make(map[kqname.Service][]kqname.UpstreamVersion)
	for _, i := range order {
		r := rollouts[i]
		if r.DurationMS > 0 {
			continue
		}
		at := fmt.Sprintf("rollouts[%d]", i)
		if s, ok := services[r.Service]; ok {
			c.from(at, r, s, served[r.Service])
		}
		if r.Cancelled {
			continue
		}
		if j, ok := last[r.Service]; ok && r.Start.Before(rollouts[j].Deadline) {
			c.when(true, at+".start", fmt.Sprintf("is before the deadline of %q of the same service", rollouts[j].Name))
		}
		last[r.Service] = i
		served[r.Service] = append(served[r.Service], r.From, r.To)
	}
}

func (c *checker) from(at string, r Rollout, s Service, served []kqname.UpstreamVersion) {
	if s.Version == "" {
		c.when(true, at+".service", "states no version, so the new version would serve before the start")
		return
	}
	c.when(r.From != s.Version && !slices.Contains(served, r.From), at+".from",
		fmt.Sprintf("is neither its service's version %q nor one of an earlier rollout", string(s.Version)))
}
