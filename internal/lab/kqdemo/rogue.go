package kqdemo

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	rogueFor  = 1500 * time.Millisecond
	roguePath = "/rogue/"
	ghostPath = "/ghost/"
)

// rogue is what nodes did with a version that no operator's commit could make.
type rogue struct {
	written bool
	// asked counts calls to the bad version's own routes; applied names the
	// nodes that answered one.
	asked   int
	applied []string
}

// writeRogue puts a root in force, past the commit's checks, whose probe host
// has one sound new route and one to a service that the root lacks. A node that
// took the sound one would have applied the version in part.
func (s *script) writeRogue(ctx context.Context) error {
	if err := s.writeRogueRoot(ctx); err != nil {
		return err
	}
	s.rogue.written = true
	s.demo.version++
	until := time.Now().Add(rogueFor)
	for time.Now().Before(until) {
		for _, e := range s.demo.crowd.entries() {
			for _, path := range []string{roguePath, ghostPath} {
				s.rogue.asked++
				if result, _, _ := e.ask(probeHost, path); result == "answered" {
					s.rogue.applied = append(s.rogue.applied, string(e.server.Spec.Node)+path)
				}
			}
			if !s.demo.witness.answers(e, s.demo.state.probes) {
				s.rogue.applied = append(s.rogue.applied, string(e.server.Spec.Node)+" lost its routes")
			}
		}
		time.Sleep(pollEvery)
	}
	return s.changeOnce(ctx)
}

func (s *script) writeRogueRoot(ctx context.Context) error {
	platform := s.demo.fleet.Platform
	root, revision, err := s.demo.committer.Root(ctx)
	if err != nil {
		return err
	}
	before, err := kqresource.Encode(root)
	if err != nil {
		return err
	}
	past, err := kqresource.Encode(kqcommit.Past{Root: root, Digest: kqresource.DigestOf(before)})
	if err != nil {
		return err
	}
	objects := make(kqresource.Objects)
	host, err := objects.Add(kqresource.Host{Name: probeHost, Routes: s.rogueRoutes()})
	if err != nil {
		return err
	}
	next := root
	next.Version, next.Parent, next.RequestID = root.Version+1, kqresource.DigestOf(before), "rogue"
	next.Hosts = maps.Clone(root.Hosts)
	next.Hosts[probeHost] = kqresource.Parts{host}
	data, err := kqresource.Encode(next)
	if err != nil {
		return err
	}
	for key, value := range map[string][]byte{kqcommit.ObjectKey(host): objects[host], kqcommit.HistoryKey(root.Version): past} {
		if _, err := platform.Put(ctx, key, value, kqstore.NoLease); err != nil {
			return fmt.Errorf("write bad version: %w", err)
		}
	}
	if _, err := platform.Swap(ctx, kqcommit.RootKey, revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write bad version: %w", err)
	}
	return nil
}

func (s *script) rogueRoutes() []kqdocument.Route {
	var routes []kqdocument.Route
	for _, r := range s.demo.state.document().Routes {
		if r.Host == probeHost {
			routes = append(routes, r)
		}
	}
	sound := routes[0]
	sound.Name, sound.PathPrefix = "rogue", roguePath
	ghost := sound
	ghost.Name, ghost.PathPrefix, ghost.Service = "ghost", ghostPath, "ghost"
	return append(routes, sound, ghost)
}
