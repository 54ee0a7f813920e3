package kqreplica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// hostInterest is a host to hold in addition to the current ones; an empty host means
// none.
type hostInterest struct {
	host     kqname.Host
	lastUsed time.Time
}

// fetchAndApply fetches the objects that the snapshot of a root lacks and makes
// the snapshot current, unless a newer version has become current meanwhile.
func (r *Replica) fetchAndApply(ctx context.Context, root kqresource.Root, added hostInterest) error {
	fetchedObjects := make(kqresource.Objects)
	for fetches := 0; ; fetches++ {
		missing, err := r.apply(root, added, fetchedObjects)
		if !errors.Is(err, kqsnapshot.ErrIncomplete) || fetches == maxFetches {
			return err
		}
		fetched, err := r.source.Fetch(ctx, missing)
		if err != nil {
			return err
		}
		for digest, data := range fetched {
			if kqresource.DigestOf(data) != digest {
				return fmt.Errorf("object %s: %w", digest, kqresource.ErrDigestMismatch)
			}
			fetchedObjects[digest] = data
		}
	}
}

// apply builds a snapshot from the objects available and then replaces one
// pointer, so that no call ever sees a partial version. If objects are missing,
// it returns their digests with kqsnapshot.ErrIncomplete. It ignores a root that is
// older than the current one.
func (r *Replica) apply(root kqresource.Root, added hostInterest, fetchedObjects kqresource.Objects) ([]kqresource.Digest, error) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	current := r.Current()
	if root.Version < current.Version() {
		return nil, nil
	}
	hosts, services, objects := r.selectNeeded(root, added, fetchedObjects)
	snapshot, missing, err := kqsnapshot.Build(root, objects, hosts, services, kqsnapshot.WithPrevious(current))
	if err != nil {
		return missing, err
	}
	if _, held := snapshot.HostStatus(added.host); held {
		r.interests.Add(added.host, added.lastUsed)
	}
	r.retainObjects(root, snapshot, objects)
	r.current.Store(snapshot)
	for _, f := range r.onChange {
		f(snapshot)
	}
	return nil, nil
}

// reportRefusal calls onRefused with the reason for err.
func (r *Replica) reportRefusal(ctx context.Context, err error) {
	switch {
	case errors.Is(err, kqsnapshot.ErrInvalid):
		r.onRefused("invalid")
	case errors.Is(err, kqresource.ErrDigestMismatch):
		r.onRefused("wrong_digest")
	case errors.Is(err, kqsnapshot.ErrIncomplete):
		r.onRefused("incomplete")
	case ctx.Err() != nil:
		r.onRefused("superseded")
	default:
		r.onRefused("fetch_failed")
	}
}

// selectNeeded returns the hosts and services to hold and the objects available to
// build them from. With wholeDocument, these are all hosts and services of the root,
// and only the fetched objects.
func (r *Replica) selectNeeded(root kqresource.Root, added hostInterest, fetchedObjects kqresource.Objects) ([]kqname.Host, []kqname.Service, kqresource.Objects) {
	if r.wholeDocument {
		return slices.Collect(maps.Keys(root.Hosts)), slices.Collect(maps.Keys(root.Services)), fetchedObjects
	}
	hosts := r.interests.Hosts()
	if added.host != "" && !slices.Contains(hosts, added.host) {
		hosts = append([]kqname.Host{added.host}, hosts...)
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	services := slices.Collect(maps.Keys(r.services))
	objects := maps.Clone(r.objects)
	maps.Copy(objects, fetchedObjects)
	return r.limitToMemory(root, hosts, objects), services, objects
}

// limitToMemory drops the least recently used hosts, which are last in the list, until
// the rest fit into the memory budget. The first host always stays. Objects that are not
// available yet count as empty, and objects of services are not counted. Without the
// limit, a caller that requests every host of a large fleet could fill a server's memory
// with routes that are never used again.
func (r *Replica) limitToMemory(root kqresource.Root, hosts []kqname.Host, objects kqresource.Objects) []kqname.Host {
	size := 0
	for i, h := range hosts {
		for _, part := range root.Hosts[h] {
			size += len(objects[part]) * (1 + decodedFactor)
		}
		if size <= r.memoryBudget || i == 0 {
			continue
		}
		for _, dropped := range hosts[i:] {
			r.interests.Drop(dropped)
			r.onMemoryLimit()
		}
		return hosts[:i]
	}
	return hosts
}
