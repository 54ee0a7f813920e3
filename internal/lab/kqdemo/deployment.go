package kqdemo

import (
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	oldVersion kqname.UpstreamVersion = "v1"
	newVersion kqname.UpstreamVersion = "v2"

	domainCount = 4
	// longWork is the duration of calls to paths with the prefix longPath. That
	// includes latePath, whose timeout is shorter: its calls cannot finish in time.
	longWork       = 80 * time.Millisecond
	longPath       = "/l"
	latePath       = "/late/"
	galleryPath    = "/galerie/"
	burstPath      = "/rush/"
	lateTimeoutMS  = 40
	burstTimeoutMS = 20
	coldFor        = time.Second
	coldWork       = 10 * time.Millisecond

	probeHost    kqname.Host    = "probe"
	probeService kqname.Service = "woodshed"
)

type (
	// deployment describes a service of the demo: its servers, its callers and the
	// rollout of its new version.
	deployment struct {
		service kqname.Service
		team    kqname.Team
		region  kqname.Region
		servers int
		// slots is the number of calls that an upstream announces to run at once;
		// work is how long the old version takes for a call.
		slots int
		work  time.Duration
		// callers is the number of concurrent callers; each waits half to one and a
		// half times pause between two calls.
		callers int
		pause   time.Duration
		policy  kqname.Policy
		// newBehaviour is the behaviour of the new version. bad is set if that
		// version is faulty, so that its rollout must be rolled back.
		newBehaviour kqupstream.Behaviour
		bad          bool
	}

	// documentState holds the variable parts of the committed document.
	documentState struct {
		// probes is the number of routes of the probe host.
		probes int
		// stockMoved routes the storefront's /stock/ to the service woodshed.
		stockMoved bool
		// start and deadline are those of every rollout.
		hasRollouts     bool
		start, deadline time.Time
	}
)

var deployments = []deployment{
	{
		service: "storefront", team: "kauri-ridge", region: "nz-south", servers: 4, slots: 6, work: 4 * time.Millisecond,
		callers: 8, pause: 20 * time.Millisecond, policy: "finishing-first",
		newBehaviour: kqupstream.Behaviour{Work: 4 * time.Millisecond, ColdFor: coldFor, ColdWork: coldWork},
	},
	{
		service: "woodshed", team: "kauri-ridge", region: "nz-south", servers: 4, slots: 6, work: 3 * time.Millisecond,
		callers: 8, pause: 20 * time.Millisecond, policy: "finishing-first", bad: true,
		newBehaviour: kqupstream.Behaviour{Work: 3 * time.Millisecond, FailShare: 1},
	},
	{
		service: "portail-lecteurs", team: "maison-diagne", region: "dakar", servers: 4, slots: 12, work: 4 * time.Millisecond,
		callers: 8, pause: 20 * time.Millisecond, policy: "taking-back-first", bad: true,
		newBehaviour: kqupstream.Behaviour{Work: 4 * time.Millisecond, FailShare: 1, FailPath: galleryPath},
	},
	{
		service: "bureau-redaction", team: "maison-diagne", region: "dakar", servers: 4, slots: 12, work: 20 * time.Millisecond,
		callers: 24, pause: 15 * time.Millisecond, policy: "taking-back-first", bad: true,
		newBehaviour: kqupstream.Behaviour{Work: 20 * time.Millisecond, SlowAbove: 2, SlowFactor: 5},
	},
}

// spec returns the spec of the service's server with index i. It starts with the
// old version.
func (d deployment) spec(i int, admin bool) kqfleet.Spec {
	return kqfleet.Spec{
		Node:   kqname.Node(fmt.Sprintf("%s-%d", d.service, i+1)),
		Domain: kqname.Domain(fmt.Sprintf("%s-%d", d.region, i%domainCount+1)), Region: d.region,
		Service: d.service, Version: oldVersion, Slots: d.slots, Admin: admin,
		Behaviour: kqupstream.Behaviour{Work: d.work, LongPath: longPath, LongWork: longWork},
	}
}

func (d deployment) rolloutName() kqname.Rollout { return kqname.Rollout(string(d.service) + "-v2") }

// Document returns the first document that the demo commits.
func Document() kqdocument.Document { return documentState{}.document() }

func (s documentState) document() kqdocument.Document {
	d := kqdocument.Document{
		Teams: []kqdocument.Team{{Name: "kauri-ridge"}, {Name: "maison-diagne"}},
		Policies: []kqdocument.Policy{
			{Name: "finishing-first", Prefer: kqdocument.PreferFinishing},
			{Name: "taking-back-first", Prefer: kqdocument.PreferTakingBack},
		},
	}
	for _, dep := range deployments {
		d.Services = append(d.Services, kqdocument.Service{Name: dep.service, Team: dep.team, Version: oldVersion})
		d.Routes = append(d.Routes, dep.routes()...)
		if s.hasRollouts {
			d.Rollouts = append(d.Rollouts, kqdocument.Rollout{
				Name: dep.rolloutName(), Team: dep.team, Service: dep.service, From: oldVersion, To: newVersion,
				Start: s.start, Deadline: s.deadline, Policy: dep.policy,
			})
		}
	}
	stock := kqdocument.Route{Name: "storefront-stock", Team: "kauri-ridge", Host: "storefront", PathPrefix: "/stock/", Service: "storefront"}
	if s.stockMoved {
		stock.Service = "woodshed"
	}
	d.Routes = append(d.Routes, stock)
	for i := range s.probes {
		d.Routes = append(d.Routes, kqdocument.Route{
			Name: kqname.Route(fmt.Sprintf("probe-%d", i+1)), Team: "kauri-ridge", Host: probeHost,
			PathPrefix: probePath(i + 1), Service: probeService,
		})
	}
	return d
}

func (d deployment) routes() []kqdocument.Route {
	base := kqdocument.Route{Name: kqname.Route(d.service), Team: d.team, Host: kqname.Host(d.service), PathPrefix: "/", Service: d.service}
	late, burst, gallery := base, base, base
	late.Name, late.PathPrefix, late.TimeoutMS = base.Name+"-late", latePath, lateTimeoutMS
	burst.Name, burst.PathPrefix, burst.TimeoutMS = base.Name+"-rush", burstPath, burstTimeoutMS
	gallery.Name, gallery.PathPrefix = base.Name+"-galerie", galleryPath
	return []kqdocument.Route{base, late, burst, gallery}
}

// probePath returns the path prefix of the n-th probe route.
func probePath(n int) string { return fmt.Sprintf("/v%d/", n) }
