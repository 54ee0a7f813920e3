package kqdocument

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	maxServices = 2000
	maxRoutes   = 20000
	maxRollouts = 1000
)

var (
	errTrailing = errors.New("more than one JSON value")
	methods     = []string{
		"", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	classes = []Class{"", ClassCritical, ClassNormal, ClassBackground}
)

type (
	// Problem is one fault of a document, at one field of one item.
	Problem struct {
		// Path names the field in the form "routes[3].service".
		Path string `json:"path"`
		// Message says what is wrong, in one short sentence.
		Message string `json:"message"`
	}

	checker struct {
		problems []Problem
	}
)

// Error joins the path and the message.
func (p Problem) Error() string { return p.Path + ": " + p.Message }

// Validate returns every fault of the document, in document order. It depends
// on nothing but the document, so that all nodes come to the same verdict.
func Validate(d Document) []Problem {
	c := &checker{}
	c.limit("services", len(d.Services), maxServices)
	c.limit("routes", len(d.Routes), maxRoutes)
	c.limit("rollouts", len(d.Rollouts), maxRollouts)
	teams := names(c, "teams", d.Teams, func(t Team) kqname.Team { return t.Name })
	policies := names(c, "policies", d.Policies, func(p Policy) kqname.Policy { return p.Name })
	services := names(c, "services", d.Services, func(s Service) kqname.Service { return s.Name })
	names(c, "routes", d.Routes, func(r Route) kqname.Route { return r.Name })
	names(c, "rollouts", d.Rollouts, func(r Rollout) kqname.Rollout { return r.Name })
	for i, p := range d.Policies {
		c.policy(fmt.Sprintf("policies[%d]", i), p)
	}
	for i, s := range d.Services {
		at := fmt.Sprintf("services[%d]", i)
		known(c, at+".team", teams, s.Team)
		c.timeout(at, s.TimeoutMS)
		c.when(s.Version != "" && !kqname.Valid(s.Version), at+".version", "is not a plain name")
	}
	for i, r := range d.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		known(c, at+".team", teams, r.Team)
		known(c, at+".service", services, r.Service)
		c.route(at, r)
	}
	for i, r := range d.Rollouts {
		at := fmt.Sprintf("rollouts[%d]", i)
		known(c, at+".team", teams, r.Team)
		known(c, at+".service", services, r.Service)
		known(c, at+".policy", policies, r.Policy)
		c.rollout(at, r)
	}
	c.overlaps(d.Rollouts)
	c.quotas(d)
	return c.problems
}

func (c *checker) when(wrong bool, path, message string) {
	if wrong {
		c.problems = append(c.problems, Problem{Path: path, Message: message})
	}
}

func (c *checker) limit(path string, count, most int) {
	c.when(count > most, path, fmt.Sprintf("has %d items, at most %d are allowed", count, most))
}

func (c *checker) timeout(at string, ms int) {
	c.when(ms < 0 || ms > 600000, at+".timeout_ms", "must be from 0 to 600000")
}

func (c *checker) policy(at string, p Policy) {
	c.when(p.Prefer != PreferFinishing && p.Prefer != PreferTakingBack,
		at+".prefer", "must be finishing or taking_back")
	c.when(!(p.SmallShare >= 0 && p.SmallShare <= 0.05), at+".small_share", "must be from 0 to 0.05")
}

func (c *checker) route(at string, r Route) {
	c.when(!kqname.Valid(r.Host), at+".host", "is not a lower-case host name")
	c.when(!strings.HasPrefix(r.PathPrefix, "/"), at+".path_prefix", "must begin with /")
	c.when(len(r.PathPrefix) > 512, at+".path_prefix", "is longer than 512 bytes")
	c.when(!slices.Contains(methods, r.Method), at+".method", "is not an HTTP method in capitals")
	c.when(!slices.Contains(classes, r.Class), at+".class", "must be critical, normal or background")
	c.when(len(r.Headers) > 8, at+".headers", "has more than 8 headers")
	c.timeout(at, r.TimeoutMS)
	for name := range r.Headers {
		if name == "" || strings.ContainsAny(name, " \r\n:") {
			c.when(true, at+".headers", "holds a name that is not a header's")
			break
		}
	}
}

func (c *checker) rollout(at string, r Rollout) {
	c.when(!kqname.Valid(r.From), at+".from", "is not a plain name")
	c.when(!kqname.Valid(r.To), at+".to", "is not a plain name")
	c.when(r.From == r.To, at+".to", "is the same version as from")
	c.when(!r.Deadline.After(r.Start), at+".deadline", "must be after start")
}

// overlaps refuses two rollouts of one service whose times meet: each would
// count the other's traffic as its own old version, and both would be misled.
func (c *checker) overlaps(rollouts []Rollout) {
	last := make(map[kqname.Service]int)
	order := make([]int, len(rollouts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(rollouts[a].Start.Compare(rollouts[b].Start), cmp.Compare(a, b))
	})
	for _, i := range order {
		r := rollouts[i]
		if r.Cancelled {
			continue
		}
		if j, ok := last[r.Service]; ok && r.Start.Before(rollouts[j].Deadline) {
			c.when(true, fmt.Sprintf("rollouts[%d].start", i),
				fmt.Sprintf("is before the deadline of %q of the same service", rollouts[j].Name))
		}
		last[r.Service] = i
	}
}

func (c *checker) quotas(d Document) {
	routes := make(map[kqname.Team]int)
	rollouts := make(map[kqname.Team]int)
	for _, r := range d.Routes {
		routes[r.Team]++
	}
	for _, r := range d.Rollouts {
		rollouts[r.Team]++
	}
	for i, t := range d.Teams {
		c.when(t.MaxRoutes > 0 && routes[t.Name] > t.MaxRoutes,
			fmt.Sprintf("teams[%d].max_routes", i), fmt.Sprintf("%d routes are over the quota", routes[t.Name]))
		c.when(t.MaxRollouts > 0 && rollouts[t.Name] > t.MaxRollouts,
			fmt.Sprintf("teams[%d].max_rollouts", i), fmt.Sprintf("%d rollouts are over the quota", rollouts[t.Name]))
	}
}

// names checks that each item has a plain name of its own, and returns them.
func names[T any, N ~string](c *checker, field string, items []T, name func(T) N) map[N]bool {
	seen := make(map[N]bool, len(items))
	for i, item := range items {
		n := name(item)
		at := fmt.Sprintf("%s[%d].name", field, i)
		c.when(!kqname.Valid(n), at, "is not a plain name")
		c.when(seen[n], at, fmt.Sprintf("%q is named twice", string(n)))
		seen[n] = true
	}
	return seen
}

func known[N ~string](c *checker, path string, names map[N]bool, name N) {
	c.when(!names[name], path, fmt.Sprintf("%q is not in the document", string(name)))
}
