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
		Service    kqname.Service    `json:"service"`
		// TimeoutMS bounds one call, in milliseconds; 0 takes the service's.
		TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
		// Class orders the route's calls when the fleet is full.
		Class Class `json:"class,omitempty" jsonschema:"enum=critical,enum=normal,enum=background"`
		// Idempotent states that calls may run twice without harm, whatever
		// their method; GET, HEAD, OPTIONS and TRACE are taken to be so.
		Idempotent bool `json:"idempotent,omitempty"`
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
