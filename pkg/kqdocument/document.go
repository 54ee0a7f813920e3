package kqdocument

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// ClassCritical is served before all other calls when the fleet is full.
	ClassCritical Class = "critical"
	// ClassNormal is the class of routes that name none.
	ClassNormal Class = "normal"
	// ClassBackground is refused first when the fleet is full.
	ClassBackground Class = "background"

	// PreferFinishing completes a rollout that lacks evidence at its deadline.
	PreferFinishing Preference = "finishing"
	// PreferTakingBack rolls such a rollout back.
	PreferTakingBack Preference = "taking_back"
)

type (
	// Class orders calls by how much their loss hurts.
	Class string

	// Preference says what a rollout policy weighs most.
	Preference string

	// Document is the whole configuration of a fleet.
	Document struct {
		Teams    []Team    `json:"teams,omitempty"`
		Policies []Policy  `json:"policies,omitempty"`
		Services []Service `json:"services,omitempty"`
		Routes   []Route   `json:"routes,omitempty"`
		Rollouts []Rollout `json:"rollouts,omitempty"`
	}

	// Team owns services, routes and rollouts, up to its quotas.
	Team struct {
		Name        kqname.Team `json:"name"`
		MaxRoutes   int         `json:"max_routes,omitempty" jsonschema:"minimum=0"`
		MaxRollouts int         `json:"max_rollouts,omitempty" jsonschema:"minimum=0"`
	}

	// Policy says how rollouts are judged. Zero values take the preset's.
	Policy struct {
		Name   kqname.Policy `json:"name"`
		Prefer Preference    `json:"prefer" jsonschema:"enum=finishing,enum=taking_back"`
		// SmallShare is the largest share of traffic, from 0 to 0.05, that a
		// version gets before the evidence for it is in.
		SmallShare float64 `json:"small_share,omitempty" jsonschema:"minimum=0,maximum=0.05"`
	}

	// Service is a set of upstreams that answer the same calls.
	Service struct {
		Name kqname.Service `json:"name"`
		Team kqname.Team    `json:"team"`
		// Version is the upstream version that gets all traffic while no
		// rollout is under way; empty lets every announced version serve.
		Version kqname.UpstreamVersion `json:"version,omitempty"`
		// TimeoutMS bounds one call, in milliseconds; 0 means 10,000.
		TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// RefusalMeansNotRun states that an upstream's own 503 is sent before
		// the call begins to run, so that it may be sent again.
		RefusalMeansNotRun bool `json:"refusal_means_not_run,omitempty"`
		// MaxConnections is how many connections one upstream accepts from all
		// callers together; 0 states none.
		MaxConnections int `json:"max_connections,omitempty" jsonschema:"minimum=0"`
	}

	// Part is one service of a route that shares its calls out, and its weight
	// beside the weights of the route's other parts.
	Part struct {
		Service kqname.Service `json:"service"`
		Weight  float64        `json:"weight" jsonschema:"minimum=0"`
	}

	// Route leads matching calls to a service. Longer path prefixes win, then
	// more headers, then a stated method, then the lower name.
	Route struct {
		Name       kqname.Route      `json:"name"`
		Team       kqname.Team       `json:"team"`
		Host       kqname.Host       `json:"host"`
		PathPrefix string            `json:"path_prefix"`
		Method     string            `json:"method,omitempty"`
		Headers    map[string]string `json:"headers,omitempty"`
		Service    kqname.Service    `json:"service,omitempty"`
		// Parts share the route's calls out among services by weight, in place
		// of Service.
		Parts []Part `json:"parts,omitempty"`
		// TimeoutMS bounds one call, in milliseconds; 0 takes the service's.
		TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// Class orders the route's calls when the fleet is full.
		Class Class `json:"class,omitempty" jsonschema:"enum=critical,enum=normal,enum=background"`
		// TargetMS is the time, in milliseconds, within which an answer has its
		// full worth; 0 states none.
		TargetMS int `json:"target_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// MaxAttempts is how many upstreams one call may be sent to; 0 means 3.
		MaxAttempts int `json:"max_attempts,omitempty" jsonschema:"minimum=0,maximum=16"`
		// Idempotent states that calls may run twice without harm, whatever
		// their method; GET, HEAD, OPTIONS and TRACE are taken to be so.
		Idempotent bool `json:"idempotent,omitempty"`
		// NotIdempotent states that calls must not run twice, also where their
		// method says otherwise.
		NotIdempotent bool `json:"not_idempotent,omitempty"`
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
		// Cancelled takes the rollout back at once, whatever its evidence.
		Cancelled bool `json:"cancelled,omitempty"`
		// DurationMS orders a rollout by its length, in milliseconds, in place of
		// From, Start and Deadline: each node counts it by its own steady clock
		// from when it first hears of the order, since the servers' times of day
		// differ, and every version but To is the old one.
		DurationMS int `json:"duration_ms,omitempty" jsonschema:"minimum=0"`
	}
)

// Rank orders classes from 0, served first, to 2, refused first. A class that is
// empty or not known ranks as normal.
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

// Services returns every service that the route may lead calls to.
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

// Choose returns the service of one call; at is a random number in [0, 1).
func (r Route) Choose(at float64) kqname.Service {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	left := at * total
	for _, p := range r.Parts {
		if left -= p.Weight; left < 0 {
			return p.Service
		}
	}
	return r.Service
}
