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
	// ErrItemNotFound is returned for an item that is not in the document.
	ErrItemNotFound = errors.New("not in the document")
	// ErrMalformedItem is returned for JSON that does not decode into an item or has
	// another name than the edited item, and by DecodeStrict for trailing data after
	// any value.
	ErrMalformedItem = errors.New("item cannot be read")

	// Kinds maps the name of each list in the document to the kind of its items.
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
		"workspaces": kind[kqdocument.Workspace, kqname.Workspace]{
			items: func(d *kqdocument.Document) *[]kqdocument.Workspace { return &d.Workspaces },
			name:  func(w *kqdocument.Workspace) *kqname.Workspace { return &w.Name },
		},
		"evacuations": kind[kqdocument.Evacuation, kqname.Domain]{
			items: func(d *kqdocument.Document) *[]kqdocument.Evacuation { return &d.Evacuations },
			name:  func(e *kqdocument.Evacuation) *kqname.Domain { return &e.Name },
		},
	}
)

type (
	// Kind reads and edits the items of one kind in a document. It never
	// modifies the documents passed to it.
	Kind interface {
		// New returns an empty item.
		New() any
		// List returns all items.
		List(d kqdocument.Document) any
		// Get returns one item, or ErrItemNotFound.
		Get(d kqdocument.Document, name string) (any, error)
		// Put replaces or adds the item with that name and returns its index. The
		// name in data, the item's JSON, must be the same or empty.
		Put(d kqdocument.Document, name string, data []byte) (kqdocument.Document, int, error)
		// Delete removes an item, or returns ErrItemNotFound.
		Delete(d kqdocument.Document, name string) (kqdocument.Document, error)
		// NameAt returns the name of the item at index, or "" if out of range.
		NameAt(d kqdocument.Document, index int) string
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
	i := k.indexOf(items, name)
	if i < 0 {
		return nil, fmt.Errorf("%q: %w", name, ErrItemNotFound)
	}
	return items[i], nil
}

// Put implements Kind.
func (k kind[T, N]) Put(d kqdocument.Document, name string, data []byte) (kqdocument.Document, int, error) {
	var item T
	if err := DecodeStrict(data, &item); err != nil {
		return d, 0, fmt.Errorf("read item: %w", errors.Join(ErrMalformedItem, err))
	}
	if itemName := k.name(&item); *itemName == "" {
		*itemName = N(name)
	} else if string(*itemName) != name {
		return d, 0, fmt.Errorf("it is named %q here and %q in the path: %w", *itemName, name, ErrMalformedItem)
	}
	items := k.items(&d)
	*items = slices.Clone(*items)
	i := k.indexOf(*items, name)
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
	i := k.indexOf(*items, name)
	if i < 0 {
		return d, fmt.Errorf("%q: %w", name, ErrItemNotFound)
	}
	*items = slices.Delete(slices.Clone(*items), i, i+1)
	return d, nil
}

// NameAt implements Kind.
func (k kind[T, N]) NameAt(d kqdocument.Document, index int) string {
	items := *k.items(&d)
	if index < 0 || index >= len(items) {
		return ""
	}
	return string(*k.name(&items[index]))
}

func (k kind[T, N]) indexOf(items []T, name string) int {
	return slices.IndexFunc(items, func(item T) bool { return string(*k.name(&item)) == name })
}

// Put returns the edit that adds or replaces an item.
func Put(k Kind, kind, name string, data []byte) Edit {
	return Edit{
		What: "put of " + kind + "." + name, Kind: kind, Name: name,
		Apply: func(d kqdocument.Document) (kqdocument.Document, error) {
			next, _, err := k.Put(d, name, data)
			return next, err
		},
	}
}

// Delete returns the edit that removes an item.
func Delete(k Kind, kind, name string) Edit {
	return Edit{
		What: "removal of " + kind + "." + name, Kind: kind, Name: name,
		Apply: func(d kqdocument.Document) (kqdocument.Document, error) { return k.Delete(d, name) },
	}
}

// DecodeStrict decodes one JSON value and rejects unknown fields and trailing
// data.
func DecodeStrict(data []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return fmt.Errorf("read JSON: %w", err)
	}
	// Any trailing data is reported as a further value.
	if _, err := dec.Token(); err != io.EOF {
		return fmt.Errorf("read JSON: more than one value: %w", ErrMalformedItem)
	}
	return nil
}
