package kqresource

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Split turns a document into a root and its objects. Documents that are equal up to
// the order of their items give equal digests. Split leaves the root's version, parent,
// request ID, author, reason and time unset: kqcommit sets them all, kqorigin only the
// version.
func Split(d kqdocument.Document) (Root, Objects, error) {
	d = Sorted(d)
	root := Root{
		Hosts:    make(map[kqname.Host]Parts),
		Services: make(map[kqname.Service]Digest),
	}
	objects := make(Objects)
	for host, routes := range groupBy(d.Routes, func(r kqdocument.Route) kqname.Host { return r.Host }) {
		parts, err := objects.addHost(host, routes)
		if err != nil {
			return Root{}, nil, fmt.Errorf("split host %s: %w", host, err)
		}
		root.Hosts[host] = parts
	}
	rollouts := groupBy(d.Rollouts, func(r kqdocument.Rollout) kqname.Service { return r.Service })
	for _, s := range d.Services {
		digest, err := objects.Add(Service{
			Service:  s,
			Rollouts: rollouts[s.Name],
			Policies: referencedPolicies(d.Policies, rollouts[s.Name]),
		})
		if err != nil {
			return Root{}, nil, fmt.Errorf("split service %s: %w", s.Name, err)
		}
		root.Services[s.Name] = digest
	}
	digest, err := objects.Add(Ownership{Teams: d.Teams, Policies: d.Policies})
	if err != nil {
		return Root{}, nil, fmt.Errorf("split ownership: %w", err)
	}
	root.Ownership = digest
	for _, e := range d.Evacuations {
		root.Evacuated = append(root.Evacuated, e.Name)
	}
	if root.Workspaces, err = objects.addWorkspaces(d.Workspaces); err != nil {
		return Root{}, nil, fmt.Errorf("split workspaces: %w", err)
	}
	return root, objects, nil
}

// Join returns the document that was split into a root and its objects, in the form
// that Sorted returns.
func Join(root Root, objects Objects) (kqdocument.Document, error) {
	var d kqdocument.Document
	for _, name := range slices.Sorted(maps.Keys(root.Hosts)) {
		for _, part := range root.Hosts[name] {
			var h Host
			if err := objects.decode(part, &h); err != nil {
				return d, fmt.Errorf("join host %s: %w", name, err)
			}
			d.Routes = append(d.Routes, h.Routes...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(root.Services)) {
		var s Service
		if err := objects.decode(root.Services[name], &s); err != nil {
			return d, fmt.Errorf("join service %s: %w", name, err)
		}
		d.Services = append(d.Services, s.Service)
		d.Rollouts = append(d.Rollouts, s.Rollouts...)
	}
	var o Ownership
	if err := objects.decode(root.Ownership, &o); err != nil {
		return d, fmt.Errorf("join ownership: %w", err)
	}
	d.Teams, d.Policies = o.Teams, o.Policies
	for _, domain := range root.Evacuated {
		d.Evacuations = append(d.Evacuations, kqdocument.Evacuation{Name: domain})
	}
	for _, part := range root.Workspaces {
		var w Workspaces
		if err := objects.decode(part, &w); err != nil {
			return d, fmt.Errorf("join workspaces: %w", err)
		}
		d.Workspaces = append(d.Workspaces, w.Workspaces...)
	}
	return Sorted(d), nil
}

// Digests returns the digest of every object that the root names, without duplicates
// and in ascending order.
func (r Root) Digests() []Digest {
	digests := make(map[Digest]bool, len(r.Hosts)+len(r.Services)+1)
	if !r.Ownership.IsZero() {
		digests[r.Ownership] = true
	}
	for _, parts := range r.Hosts {
		for _, d := range parts {
			digests[d] = true
		}
	}
	for _, d := range r.Services {
		digests[d] = true
	}
	for _, d := range r.Workspaces {
		digests[d] = true
	}
	return slices.SortedFunc(maps.Keys(digests), Digest.Compare)
}

// Sorted returns a copy of the document with its items sorted by name and the times of
// its rollouts in UTC. The copy is shallow.
func Sorted(d kqdocument.Document) kqdocument.Document {
	d.Teams = sortedBy(d.Teams, func(t kqdocument.Team) kqname.Team { return t.Name })
	d.Policies = sortedBy(d.Policies, func(p kqdocument.Policy) kqname.Policy { return p.Name })
	d.Services = sortedBy(d.Services, func(s kqdocument.Service) kqname.Service { return s.Name })
	d.Routes = sortedBy(d.Routes, func(r kqdocument.Route) kqname.Route { return r.Name })
	d.Rollouts = sortedBy(d.Rollouts, func(r kqdocument.Rollout) kqname.Rollout { return r.Name })
	d.Evacuations = sortedBy(d.Evacuations, func(e kqdocument.Evacuation) kqname.Domain { return e.Name })
	d.Workspaces = sortedBy(d.Workspaces, func(w kqdocument.Workspace) kqname.Workspace { return w.Name })
	for i, r := range d.Rollouts {
		d.Rollouts[i].Start, d.Rollouts[i].Deadline = r.Start.UTC(), r.Deadline.UTC()
	}
	return d
}

// decode decodes the object with the given digest into value.
func (o Objects) decode(d Digest, value any) error {
	data, ok := o[d]
	if !ok {
		return fmt.Errorf("object %s is missing: %w", d, ErrDigestMismatch)
	}
	return Decode(data, value)
}

// referencedPolicies returns the policies that the rollouts name.
func referencedPolicies(all []kqdocument.Policy, rollouts []kqdocument.Rollout) []kqdocument.Policy {
	var used []kqdocument.Policy
	for _, p := range all {
		if slices.ContainsFunc(rollouts, func(r kqdocument.Rollout) bool { return r.Policy == p.Name }) {
			used = append(used, p)
		}
	}
	return used
}

func groupBy[T any, K comparable](items []T, key func(T) K) map[K][]T {
	groups := make(map[K][]T)
	for _, item := range items {
		groups[key(item)] = append(groups[key(item)], item)
	}
	return groups
}

func sortedBy[T any, K cmp.Ordered](items []T, key func(T) K) []T {
	return slices.SortedStableFunc(slices.Values(items), func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
