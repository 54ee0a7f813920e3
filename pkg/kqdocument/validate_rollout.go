package kqdocument

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxRolloutDuration bounds the duration of a rollout, since two versions of the
// service run until it ends.
const maxRolloutDuration = 90 * 24 * time.Hour

var (
	// earliest and latest bound the times of a rollout. Times outside these bounds are
	// mistakes, such as a year of two digits or milliseconds taken for seconds; some
	// have no JSON form.
	earliest = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	latest   = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// checkRolloutNames checks that the rollouts' names are unique. In an adopted document they
// need to be so for each service only: orders that were written together for two services
// have the same name.
func (c *checker) checkRolloutNames(rollouts []Rollout) {
	if !c.adopted {
		uniqueNames(c, "rollouts", rollouts, func(r Rollout) kqname.Rollout { return r.Name })
		return
	}
	type key struct {
		service kqname.Service
		name    kqname.Rollout
	}
	seen := make(map[key]bool, len(rollouts))
	for i, r := range rollouts {
		at := fmt.Sprintf("rollouts[%d].name", i)
		c.reportIf(!isName(c, r.Name), at, "is not a name")
		c.reportIf(seen[key{r.Service, r.Name}], at, fmt.Sprintf("%.64q is named twice for its service", string(r.Name)))
		seen[key{r.Service, r.Name}] = true
	}
}

// checkRollout checks a rollout that is given by From, Start and Deadline.
func (c *checker) checkRollout(path string, r Rollout) {
	c.reportIf(!isName(c, r.From), path+".from", "is not a plain name")
	c.reportIf(!isName(c, r.To), path+".to", "is not a plain name")
	c.reportIf(r.From == r.To, path+".to", "is the same version as from")
	c.checkTime(path+".start", r.Start)
	c.checkTime(path+".deadline", r.Deadline)
	c.reportIf(!r.Deadline.After(r.Start), path+".deadline", "must be after start")
	c.reportIf(r.Deadline.Sub(r.Start) > maxRolloutDuration, path+".deadline", "is more than 90 days after start")
}

// checkDurationRollout checks a rollout that is given by its duration.
func (c *checker) checkDurationRollout(path string, r Rollout) {
	c.reportIf(!isName(c, r.To), path+".to", "is not a plain name")
	c.reportIf(r.From != "" || !r.Start.IsZero() || !r.Deadline.IsZero(), path+".duration_ms", "stands beside from, start or deadline")
	c.reportIf(r.DurationMS < 0 || time.Duration(r.DurationMS)*time.Millisecond > maxRolloutDuration, path+".duration_ms", "must be from 0 to 90 days")
}

func (c *checker) checkTime(path string, t time.Time) {
	c.reportIf(t.Before(earliest) || !t.Before(latest), path, "must be in the years 2000 to 2199")
}

// checkSequence checks each service's rollouts in the order of their starts. It
// refuses rollouts that overlap, since each would count the other's traffic as that of
// its own old version and decide wrongly. It also checks From by checkFrom. Cancelled
// rollouts are exempt from the check for overlaps, but not from checkFrom. Rollouts
// that are given by a duration are not checked, since they have no start.
func (c *checker) checkSequence(rollouts []Rollout, services map[kqname.Service]Service) {
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
		path := fmt.Sprintf("rollouts[%d]", i)
		if s, ok := services[r.Service]; ok {
			c.checkFrom(path, r, s, served[r.Service])
		}
		if r.Cancelled {
			continue
		}
		if j, ok := last[r.Service]; ok && r.Start.Before(rollouts[j].Deadline) {
			c.reportIf(true, path+".start", fmt.Sprintf("is before the deadline of %q of the same service", rollouts[j].Name))
		}
		last[r.Service] = i
		served[r.Service] = append(served[r.Service], r.From, r.To)
	}
}

// checkFrom refuses a rollout from a version that cannot be serving at its start, since
// there would be nothing to compare the new version with. served holds the versions of
// the service's earlier rollouts that are not cancelled. It also refuses a rollout of a
// service that states no version, since the new version would get calls before the start.
func (c *checker) checkFrom(path string, r Rollout, s Service, served []kqname.UpstreamVersion) {
	if s.Version == "" {
		c.reportIf(true, path+".service", "states no version, so the new version would serve before the start")
		return
	}
	c.reportIf(r.From != s.Version && !slices.Contains(served, r.From), path+".from",
		fmt.Sprintf("is neither its service's version %q nor one of an earlier rollout", string(s.Version)))
}
