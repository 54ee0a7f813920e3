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

// interest is a host that is wanted beside those held.
type interest struct {
	host kqname.Host
	used time.Time
}

// stage fetches what the snapshot of a root lacks and then swaps it in, unless
// a newer version came into force meanwhile.
func (r *Replica) stage(ctx context.Context, root kqresource.Root, extra interest) error {
	staged := make(kqresource.Objects)
	for range fetchRounds {
		missing, err := r.swap(root, extra, staged)
		if !errors.Is(err, kqsnapshot.ErrIncomplete) {
			return err
		}
		fetched, err := r.source.Fetch(ctx, missing)
		if err != nil {
			return err
		}
		for digest, data := range fetched {
			if kqresource.DigestOf(data) != digest {
				return fmt.Errorf("object %s: %w", digest, kqresource.ErrDigest)
			}
			staged[digest] = data
		}
	}
	return kqsnapshot.ErrIncomplete
}

// swap builds the snapshot off to the side from the objects at hand and then
// exchanges one pointer, so that no call ever sees a part of it. It returns what
// is missing, with kqsnapshot.ErrIncomplete, where not all are at hand.
func (r *Replica) swap(root kqresource.Root, extra interest, staged kqresource.Objects) ([]kqresource.Digest, error) {
	r.swapping.Lock()
	defer r.swapping.Unlock()
	current := r.Current()
	if root.Version < current.Version() {
		return nil, nil
	}
	hosts, services, objects := r.needs(root, extra, staged)
	snapshot, missing, err := kqsnapshot.Build(root, objects, hosts, services, kqsnapshot.WithPrevious(current))
	if err != nil {
		return missing, err
	}
	if _, held := snapshot.Knows(extra.host); held {
		r.interests.Add(extra.host, extra.used)
	}
	r.keep(root, snapshot, objects)
	r.current.Store(snapshot)
	for _, f := range r.changed {
		f(snapshot)
	}
	return nil, nil
}

func (r *Replica) refuse(ctx context.Context, err error) {
	switch {
	case errors.Is(err, kqsnapshot.ErrInvalid):
		r.refused("invalid")
	case errors.Is(err, kqresource.ErrDigest):
		r.refused("wrong_digest")
	case errors.Is(err, kqsnapshot.ErrIncomplete):
		r.refused("incomplete")
	case ctx.Err() != nil:
		r.refused("superseded")
	default:
		r.refused("fetch_failed")
	}
}

func (r *Replica) needs(root kqresource.Root, extra interest, staged kqresource.Objects) ([]kqname.Host, []kqname.Service, kqresource.Objects) {
	if r.fresh {
		return slices.Collect(maps.Keys(root.Hosts)), slices.Collect(maps.Keys(root.Services)), staged
	}
	hosts := r.interests.Hosts()
	if extra.host != "" && !slices.Contains(hosts, extra.host) {
		hosts = append([]kqname.Host{extra.host}, hosts...)
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	services := slices.Collect(maps.Keys(r.services))
	objects := maps.Clone(r.objects)
	maps.Copy(objects, staged)
	return r.within(root, hosts, objects), services, objects
}

// within cuts the hosts to the memory budget; those used last stay. Without it,
// a caller who walks through every host of a large fleet could fill a server's
// memory with routes that nobody uses again.
func (r *Replica) within(root kqresource.Root, hosts []kqname.Host, objects kqresource.Objects) []kqname.Host {
	size := 0
	for i, h := range hosts {
		for _, part := range root.Hosts[h] {
			size += len(objects[part]) * (1 + decodedFactor)
		}
		if size <= r.memory || i == 0 {
			continue
		}
		for _, dropped := range hosts[i:] {
			r.interests.Drop(dropped)
			r.bound()
		}
		return hosts[:i]
	}
	return hosts
}
