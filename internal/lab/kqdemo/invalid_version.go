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
	observeInvalidFor = 1500 * time.Millisecond
	// validPath and danglingPath are the path prefixes of the two routes that only
	// the invalid version has.
	validPath    = "/rogue/"
	danglingPath = "/ghost/"
)

// invalidVersion records how nodes reacted to a version that fails the checks of
// a commit.
type invalidVersion struct {
	written bool
	// requests counts calls to routes that only the invalid version has.
	requests int
	// appliedBy has an entry for each of these calls that was answered, with the
	// node and the path, and for each time that a node no longer had its newest
	// valid route.
	appliedBy []string
}

// writeInvalidVersion writes a root directly to the platform, without the checks
// of a commit. Its probe host has a valid new route and one to a missing service.
// A node that answers the valid route has applied the version partially. After
// observing the nodes for observeInvalidFor, writeInvalidVersion commits a valid
// version.
func (s *script) writeInvalidVersion(ctx context.Context) error {
	if err := s.writeInvalidRoot(ctx); err != nil {
		return err
	}
	s.invalidVersion.written = true
	s.demo.version++
	until := time.Now().Add(observeInvalidFor)
	for time.Now().Before(until) {
		for _, t := range s.demo.targetPool.targets() {
			for _, path := range []string{validPath, danglingPath} {
				s.invalidVersion.requests++
				if result, _, _ := t.sendUncounted(probeHost, path); result == "answered" {
					s.invalidVersion.appliedBy = append(s.invalidVersion.appliedBy, string(t.server.Spec.Node)+path)
				}
			}
			if !s.demo.monitor.hasProbe(t, s.demo.documentState.probes) {
				s.invalidVersion.appliedBy = append(s.invalidVersion.appliedBy, string(t.server.Spec.Node)+" lost its routes")
			}
		}
		time.Sleep(pollInterval)
	}
	return s.commitProbe(ctx)
}

func (s *script) writeInvalidRoot(ctx context.Context) error {
	platform := s.demo.fleet.Platform
	root, revision, err := s.demo.committer.Root(ctx)
	if err != nil {
		return err
	}
	before, err := kqresource.Encode(root)
	if err != nil {
		return err
	}
	historyRecord, err := kqresource.Encode(kqcommit.HistoryRecord{Root: root, Digest: kqresource.DigestOf(before)})
	if err != nil {
		return err
	}
	objects := make(kqresource.Objects)
	host, err := objects.Add(kqresource.Host{Name: probeHost, Routes: s.invalidVersionRoutes()})
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
	for key, value := range map[string][]byte{kqcommit.ObjectKey(host): objects[host], kqcommit.HistoryKey(root.Version): historyRecord} {
		if _, err := platform.Put(ctx, key, value, kqstore.NoLease); err != nil {
			return fmt.Errorf("write invalid configuration version: %w", err)
		}
	}
	if _, err := platform.Swap(ctx, kqcommit.RootKey, revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write invalid configuration version: %w", err)
	}
	return nil
}

// invalidVersionRoutes returns the current routes of the probe host, a valid new
// one, and one whose service does not exist.
func (s *script) invalidVersionRoutes() []kqdocument.Route {
	var routes []kqdocument.Route
	for _, r := range s.demo.documentState.document().Routes {
		if r.Host == probeHost {
			routes = append(routes, r)
		}
	}
	valid := routes[0]
	valid.Name, valid.PathPrefix = "rogue", validPath
	danglingRoute := valid
	danglingRoute.Name, danglingRoute.PathPrefix, danglingRoute.Service = "ghost", danglingPath, "ghost"
	return append(routes, valid, danglingRoute)
}
