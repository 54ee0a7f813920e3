package kqdocument

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// ClassCritical calls are served before all others under overload.
	ClassCritical Class = "critical"
	// ClassNormal is the class of routes that set none.
	ClassNormal Class = "normal"
	// ClassBackground calls are refused first under overload.
	ClassBackground Class = "background"

	// PreferFinishing completes a rollout that lacks evidence at its deadline.
	PreferFinishing Preference = "finishing"
	// PreferTakingBack rolls back a rollout that lacks evidence at its deadline.
	PreferTakingBack Preference = "taking_back"
)

type (
	// Class is the priority of calls under overload.
	Class string

	// Preference is how a policy ends rollouts that lack evidence at their deadline.
	Preference string

	// Document is the whole configuration of a fleet.
	Document struct {
		Teams    []Team    `json:"teams,omitempty"`
		Policies []Policy  `json:"policies,omitempty"`
		Services []Service `json:"services,omitempty"`
		Routes   []Route   `json:"routes,omitempty"`
		Rollouts []Rollout `json:"rollouts,omitempty"`
		// Evacuations lists the failure domains whose upstreams must get no calls.
		Evacuations []Evacuation `json:"evacuations,omitempty"`
		// Workspaces lists the fleet's tenants. If there are any, callers from outside need
		// an API key of one of them, except on routes that allow anonymous calls.
		Workspaces []Workspace `json:"workspaces,omitempty"`
	}

	// Workspace is a tenant of the fleet. Its callers identify themselves by an API key.
	Workspace struct {
		Name kqname.Workspace `json:"name"`
		// KeyDigests are the SHA-256 digests of the workspace's API keys, in lower-case
		// hex. The document never holds the keys themselves.
		KeyDigests []string `json:"key_digests,omitempty"`
		// Class is the priority of the workspace's calls under overload, which goes before
		// that of their routes; empty means that only the routes' classes count.
		Class Class `json:"class,omitempty" jsonschema:"enum=critical,enum=normal,enum=background"`
		// RatePerS and Burst limit the workspace's calls over all nodes together: in any
		// time t, at most RatePerS times t plus Burst. A RatePerS of 0 means no limit.
		RatePerS float64 `json:"rate_per_s,omitempty" jsonschema:"minimum=0"`
		Burst    float64 `json:"burst,omitempty" jsonschema:"minimum=0"`
	}

	// Evacuation keeps all calls away from the upstreams of a failure domain until it is
	// removed. Entries in the domain keep serving their callers from other domains.
	Evacuation struct {
		// Name is the failure domain. A domain without servers may be named.
		Name kqname.Domain `json:"name"`
	}

	// Team owns services, routes and rollouts, with quotas for its routes and rollouts; a
	// quota of 0 sets no limit.
	Team struct {
		Name        kqname.Team `json:"name"`
		MaxRoutes   int         `json:"max_routes,omitempty" jsonschema:"minimum=0"`
		MaxRollouts int         `json:"max_rollouts,omitempty" jsonschema:"minimum=0"`
	}

	// Policy states how a rollout that lacks evidence at its deadline ends, and the
	// largest share of traffic before there is enough evidence. A SmallShare of 0 selects
	// the default of 0.05.
	Policy struct {
		Name   kqname.Policy `json:"name"`
		Prefer Preference    `json:"prefer" jsonschema:"enum=finishing,enum=taking_back"`
		// SmallShare is the largest share of traffic, from 0 to 0.05, that the new
		// version gets before there is enough evidence for it.
		SmallShare float64 `json:"small_share,omitempty" jsonschema:"minimum=0,maximum=0.05"`
	}

	// Service is a set of upstreams that answer the same calls.
	Service struct {
		Name kqname.Service `json:"name"`
		Team kqname.Team    `json:"team"`
		// Version is the upstream version that gets all traffic while no rollout is
		// in progress; if empty, every announced version serves.
		Version kqname.UpstreamVersion `json:"version,omitempty"`
		// TimeoutMS is the timeout of one call, in milliseconds; 0 means 10,000.
		TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// RefusalMeansNotRun states that an upstream answers 503 only before it
		// starts to process a call, so that the call may be retried.
		RefusalMeansNotRun bool `json:"refusal_means_not_run,omitempty"`
		// MaxConnections is the number of connections that one upstream accepts from
		// all callers together; 0 means not stated.
		MaxConnections int `json:"max_connections,omitempty" jsonschema:"minimum=0"`
		// ColdStartMS is how long an upstream is cold after its start, in milliseconds; 0
		// means not stated.
		ColdStartMS int `json:"cold_start_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// ColdRate is the number of calls a second that a cold upstream bears; 0 means
		// that cold upstreams need no limit.
		ColdRate float64 `json:"cold_rate,omitempty" jsonschema:"minimum=0"`
		// HealthPath is the path at which an upstream answers health checks, in which it
		// says whether it is cold. Without it, only announcements say so.
		HealthPath string `json:"health_path,omitempty"`
	}

	// Part is one of the services among which a route splits its calls, with its
	// weight relative to the other parts.
	Part struct {
		Service kqname.Service `json:"service"`
		Weight  float64        `json:"weight" jsonschema:"minimum=0"`
	}

	// Route directs matching calls to a service or splits them among several. If
	// several routes match, the longest path prefix wins, then the most headers, then
	// a stated method, then the alphabetically first name.
	Route struct {
		Name       kqname.Route      `json:"name"`
		Team       kqname.Team       `json:"team"`
		Host       kqname.Host       `json:"host"`
		PathPrefix string            `json:"path_prefix"`
		Method     string            `json:"method,omitempty"`
		Headers    map[string]string `json:"headers,omitempty"`
		Service    kqname.Service    `json:"service,omitempty"`
		// Parts split the route's calls among services by weight, in place of
		// Service.
		Parts []Part `json:"parts,omitempty"`
		// TimeoutMS is the timeout of one call, in milliseconds; 0 means the
		// service's timeout.
		TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// Class is the priority of the route's calls under overload; empty means
		// normal.
		Class Class `json:"class,omitempty" jsonschema:"enum=critical,enum=normal,enum=background"`
		// TargetMS is the target latency of a call, in milliseconds: a later answer is
		// worth less. 0 means no target.
		TargetMS int `json:"target_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// MaxAttempts is the number of upstreams that one call may be sent to, each
		// at most once; 0 means 3.
		MaxAttempts int `json:"max_attempts,omitempty" jsonschema:"minimum=0,maximum=16"`
		// Idempotent states that calls may run twice without harm, whatever their
		// method. Only calls with a safe method (GET, HEAD, OPTIONS, TRACE) are
		// idempotent by default; PUT and DELETE are not.
		Idempotent bool `json:"idempotent,omitempty"`
		// NotIdempotent states that calls must not run twice, even if their method
		// is idempotent by default.
		NotIdempotent bool `json:"not_idempotent,omitempty"`
		// AllowAnonymous states that callers need no API key even if the document has
		// workspaces.
		AllowAnonymous bool `json:"allow_anonymous,omitempty"`
	}

	// Rollout moves a service's traffic from one upstream version to another.
	Rollout struct {
		Name     kqname.Rollout         `json:"name"`
		Team     kqname.Team            `json:"team"`
		Service  kqname.Service         `json:"service"`
		From     kqname.UpstreamVersion `json:"from"`
		To       kqname.UpstreamVersion `json:"to"`
		Start    time.Time              `json:"start"`
		Deadline time.Time              `json:"deadline"`
		Policy   kqname.Policy          `json:"policy"`
		// Cancelled rolls the rollout back at once, whatever the evidence.
		Cancelled bool `json:"cancelled,omitempty"`
		// DurationMS gives the length of a rollout, in milliseconds, in place of
		// From, Start and Deadline. Each node measures it by its own monotonic clock
		// from when it first receives the rollout, since the wall clocks of servers
		// differ. Every version other than To counts as the old one.
		DurationMS int `json:"duration_ms,omitempty" jsonschema:"minimum=0"`
	}
)

// Rank returns the order of a class under overload, from 0, served first, to 2,
// refused first. An empty or unknown class ranks as normal.
func (c Class) Rank() int {
	switch c {
	case ClassCritical:
		return 0
	case ClassBackground:
		return 2
	default:
		return 1
	}
}

// Services returns every service that the route may direct calls to.
func (r Route) Services() []kqname.Service {
	if len(r.Parts) == 0 {
		return []kqname.Service{r.Service}
	}
	list := make([]kqname.Service, 0, len(r.Parts))
	for _, p := range r.Parts {
		list = append(list, p.Service)
	}
	return list
}

// Choose selects the service for one call by the weights of the parts; random is a
// random number in [0, 1). Without parts it returns Service. With parts, rounding can
// rarely leave none chosen; it then returns the empty name.
func (r Route) Choose(random float64) kqname.Service {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	remaining := random * total
	for _, p := range r.Parts {
		if remaining -= p.Weight; remaining < 0 {
			return p.Service
		}
	}
	return r.Service
}
