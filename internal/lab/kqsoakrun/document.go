package kqsoakrun

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	team        = kqname.Team("soak")
	policy      = kqname.Policy("careful")
	goodVersion = kqname.UpstreamVersion("v1")
	badVersion  = kqname.UpstreamVersion("v2")
	failShare   = "0.5"
	// rolloutDelay is the time from the creation of a rollout to its start, long enough
	// for all nodes to receive it before.
	rolloutDelay  = time.Second
	routeTimeout  = 5 * time.Second
	commitTimeout = 10 * time.Second

	// coldService is the service whose upstreams are cold for coldTime after each start:
	// calls take coldWork longer, and an upstream bears coldRate of them a second.
	coldService = kqname.Service("beta")
	coldTime    = 2 * time.Second
	coldWork    = 100 * time.Millisecond
	coldRate    = 10
)

// route is a route that callers or the prober use.
type route struct {
	host, path string
	idempotent bool
	// service is where the route leads, empty for both services.
	service kqname.Service
}

var (
	errNotCommitted = errors.New("not committed")

	services = []kqname.Service{"alpha", "beta"}
	routes   = []route{
		{"alpha.example", "/read/", true, "alpha"},
		{"alpha.example", "/order/", false, "alpha"},
		{"beta.example", "/read/", true, "beta"},
		{"beta.example", "/order/", false, "beta"},
		{"both.example", "/read/", true, ""},
		{"both.example", "/order/", false, ""},
	}
)

// document returns the fleet's document with a number. Two documents with the same
// rollouts and evacuations differ only in the weights of the routes of both.example, whose services are
// equivalent, and in the probe routes of the latest probesKept documents, which show that
// a document is in force.
func document(number int, rollouts []kqdocument.Rollout, evacuations []kqdocument.Evacuation) kqdocument.Document {
	d := kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: team}},
		Policies: []kqdocument.Policy{{Name: policy, Prefer: kqdocument.PreferTakingBack}},
		Rollouts: rollouts, Evacuations: evacuations,
	}
	for _, s := range services {
		next := kqdocument.Service{Name: s, Team: team, Version: goodVersion, TimeoutMS: int(routeTimeout.Milliseconds())}
		if s == coldService {
			next.ColdRate, next.ColdStartMS, next.HealthPath = coldRate, int(coldTime.Milliseconds()), kqupstream.HealthPath
		}
		d.Services = append(d.Services, next)
	}
	for i, r := range routes {
		next := kqdocument.Route{
			Name: kqname.Route(fmt.Sprintf("route-%d", i)), Team: team, Host: kqname.Host(r.host), PathPrefix: r.path,
			TimeoutMS: int(routeTimeout.Milliseconds()), Idempotent: r.idempotent, NotIdempotent: !r.idempotent,
		}
		if i < len(services)*2 {
			next.Service = services[i/2]
		} else {
			next.Parts = []kqdocument.Part{{Service: services[0], Weight: 1 + float64(number%3)}, {Service: services[1], Weight: 2}}
		}
		d.Routes = append(d.Routes, next)
	}
	for i := max(1, number-probesKept+1); i <= number; i++ {
		d.Routes = append(d.Routes, kqdocument.Route{
			Name: kqname.Route(fmt.Sprintf("from-%d", i)), Team: team, Host: probeHost, PathPrefix: probe(i).path,
			Service: services[0], Idempotent: true,
		})
	}
	return d
}

// commit commits the next document.
func (s *Soak) commit(ctx context.Context) error {
	s.versions.Lock()
	defer s.versions.Unlock()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	s.versions.number++
	o, err := kqcommit.New(kqstoreclient.New(s.storeURL)).Commit(ctx, kqcommit.Request{
		ID: fmt.Sprintf("soak-%d", s.versions.number), Base: s.versions.lastConfigVersion, Author: "soak", Reason: "soak",
		At: time.Now(), Document: document(s.versions.number, s.versions.rollouts, s.versions.evacuations),
	})
	if err != nil {
		return fmt.Errorf("commit version: %w", err)
	}
	s.versions.lastConfigVersion = o.Version
	if o.Status == kqcommit.Committed {
		s.versions.committed = s.versions.number
	}
	// The event is logged for every status, also for a conflict or a refusal.
	s.logEvent(event{Event: "committed", Text: fmt.Sprintf("%s as version %d", o.Status, o.Version)})
	if o.Status != kqcommit.Committed {
		return fmt.Errorf("commit version: %s %v: %w", o.Status, o.Problems, errNotCommitted)
	}
	return nil
}

// rollout runs a rollout to a bad version, half of whose answers are failures. It starts
// the version's upstream, commits the rollout, with retries, waits until the rollout's
// deadline and stops the upstream, or leaves it running if ctx ends first.
func (s *Soak) rollout(ctx context.Context, n *node, f kqsoak.Fault) error {
	name := "bad-" + n.name
	s.checker.MarkBad(name)
	c, _, err := n.launchUpstream(name, "--upstream-version", string(badVersion), "--fail-share", failShare)
	if err != nil {
		return err
	}
	start := time.Now().Add(rolloutDelay)
	s.versions.Lock()
	s.versions.rollouts = append(s.versions.rollouts, kqdocument.Rollout{
		Name: "bad", Team: team, Service: n.service(), From: goodVersion, To: badVersion,
		Start: start, Deadline: start.Add(f.For), Policy: policy,
	})
	s.versions.Unlock()
	for end := s.now() + f.For + rolloutDelay; s.now() < end; {
		// The store may be unavailable during a fault.
		if err := s.commit(ctx); err == nil {
			sleep(ctx, end-s.now())
		} else if s.logEvent(event{Event: "not committed", Text: err.Error()}); !sleep(ctx, versionInterval) {
			return nil
		}
	}
	return c.Signal(syscall.SIGTERM)
}
