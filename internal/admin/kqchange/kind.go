package kqchange

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	// ErrNoItem tells that the document has no such item.
	ErrNoItem = errors.New("not in the document")
	// ErrItem tells that an item's JSON cannot be read.
	ErrItem = errors.New("item cannot be read")

	// Kinds are the kinds of items, by their names in the document.
	Kinds = map[string]Kind{
		"services": kind[kqdocument.Service, kqname.Service]{
			items: func(d *kqdocument.Document) *[]kqdocument.Service { return &d.Services },
			name:  func(s *kqdocument.Service) *kqname.Service { return &s.Name },
		},
		"routes": kind[kqdocument.Route, kqname.Route]{
			items: func(d *kqdocument.Document) *[]kqdocument.Route { return &d.Routes },
			name:  func(r *kqdocument.Route) *kqname.Route { return &r.Name },
		},
		"rollouts": kind[kqdocument.Rollout, kqname.Rollout]{
			items: func(d *kqdocument.Document) *[]kqdocument.Rollout { return &d.Rollouts },
			name:  func(r *kqdocument.Rollout) *kqname.Rollout { return &r.Name },
		},
		"policies": kind[kqdocument.Policy, kqname.Policy]{
			items: func(d *kqdocument.Document) *[]kqdocument.Policy { return &d.Policies },
			name:  func(p *kqdocument.Policy) *kqname.Policy { return &p.Name },
		},
		"teams": kind[kqdocument.Team, kqname.Team]{
			items: func(d *kqdocument.Document) *[]kqdocument.Team { return &d.Teams },
			name:  func(t *kqdocument.Team) *kqname.Team { return &t.Name },
		},
	}
)

type (
	// Kind edits the items of one kind in a document. Documents that it is
	// given stay as they are.
	Kind interface {
		// New returns an empty item.
		New() any
		// List returns all items.
		List(d kqdocument.Document) any
		// Get returns one item, or ErrNoItem.
		Get(d kqdocument.Document, name string) (any, error)
		// Put replaces or adds the item with that name, and returns its place.
		Put(d kqdocument.Document, name string, data []byte) (kqdocument.Document, int, error)
		// Delete removes an item, or returns ErrNoItem.
		Delete(d kqdocument.Document, name string) (kqdocument.Document, error)
		// NameAt returns the name of the item in one place, or "".
		NameAt(d kqdocument.Document, place int) string
	}

	kind[T any, N ~string] struct {
		items func(*kqdocument.Document) *[]T
		name  func(*T) *N
	}
)

// New implements Kind.
func (kind[T, N]) New() any { return new(T) }

// List implements Kind.
func (k kind[T, N]) List(d kqdocument.Document) any {
	if items := *k.items(&d); items != nil {
		return items
	}
	return []T{}
}

// Get implements Kind.
func (k kind[T, N]) Get(d kqdocument.Document, name string) (any, error) {
	items := *k.items(&d)
	i := k.find(items, name)
	if i < 0 {
		return nil, fmt.Errorf("%q: %w", name, ErrNoItem)
	}
	return items[i], nil
}

// Put implements Kind.
func (k kind[T, N]) Put(d kqdocument.Document, name string, data []byte) (kqdocument.Document, int, error) {
	var item T
	if err := Strict(data, &item); err != nil {
		return d, 0, fmt.Errorf("read item: %w", errors.Join(ErrItem, err))
	}
	if own := k.name(&item); *own == "" {
		*own = N(name)
	} else if string(*own) != name {
		return d, 0, fmt.Errorf("it is named %q here and %q in the path: %w", *own, name, ErrItem)
	}
	items := k.items(&d)
	*items = slices.Clone(*items)
	i := k.find(*items, name)
	if i < 0 {
		*items = append(*items, item)
		return d, len(*items) - 1, nil
	}
	(*items)[i] = item
	return d, i, nil
}

// Delete implements Kind.
func (k kind[T, N]) Delete(d kqdocument.Document, name string) (kqdocument.Document, error) {
	items := k.items(&d)
	i := k.find(*items, name)
	if i < 0 {
		return d, fmt.Errorf("%q: %w", name, ErrNoItem)
	}
	*items = slices.Delete(slices.Clone(*items), i, i+1)
	return d, nil
}

// NameAt implements Kind.
func (k kind[T, N]) NameAt(d kqdocument.Document, place int) string {
	items := *k.items(&d)
	if place < 0 || place >= len(items) {
		return ""
	}
	return string(*k.name(&items[place]))
}

func (k kind[T, N]) find(items []T, name string) int {
	return slices.IndexFunc(items, func(item T) bool { return string(*k.name(&item)) == name })
}

// Put is the edit that adds or replaces an item.
func Put(k Kind, kind, name string, data []byte) Edit {
	return Edit{
		What: "put of " + kind + "." + name, Kind: kind, Name: name,
		Apply: func(d kqdocument.Document) (kqdocument.Document, error) {
			next, _, err := k.Put(d, name, data)
			return next, err
		},
	}
}

// Delete is the edit that removes an item.
func Delete(k Kind, kind, name string) Edit {
	return Edit{
		What: "removal of " + kind + "." + name, Kind: kind, Name: name,
		Apply: func(d kqdocument.Document) (kqdocument.Document, error) { return k.Delete(d, name) },
	}
}

// Strict reads one JSON value and refuses unknown fields and trailing data.
func Strict(data []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return fmt.Errorf("read JSON: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return fmt.Errorf("read JSON: more than one value: %w", ErrItem)
	}
	return nil
}
