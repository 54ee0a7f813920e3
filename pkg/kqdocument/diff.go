package kqdocument

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

const (
	// Added items stand in the second document only.
	Added ChangeKind = "added"
	// Removed items stand in the first document only.
	Removed ChangeKind = "removed"
	// Changed items differ between the two.
	Changed ChangeKind = "changed"
)

type (
	// ChangeKind says how an item differs.
	ChangeKind string

	// Change is one item that differs between two documents.
	Change struct {
		Kind ChangeKind `json:"kind"`
		// Item names it in the form "routes.checkout".
		Item string `json:"item"`
		// Before and After are the item's JSON; nil where it does not stand.
		Before json.RawMessage `json:"before,omitempty"`
		After  json.RawMessage `json:"after,omitempty"`
	}
)

// Diff returns what differs from before to after, by kind of item and then by
// name, whatever the order of items within the documents.
func Diff(before, after Document) []Change {
	var changes []Change
	changes = append(changes, diff("teams", before.Teams, after.Teams, func(t Team) string { return string(t.Name) })...)
	changes = append(changes, diff("policies", before.Policies, after.Policies, func(p Policy) string { return string(p.Name) })...)
	changes = append(changes, diff("services", before.Services, after.Services, func(s Service) string { return string(s.Name) })...)
	changes = append(changes, diff("routes", before.Routes, after.Routes, func(r Route) string { return string(r.Name) })...)
	changes = append(changes, diff("rollouts", before.Rollouts, after.Rollouts, func(r Rollout) string { return string(r.Name) })...)
	return changes
}

func diff[T any](field string, before, after []T, name func(T) string) []Change {
	old, current := byName(before, name), byName(after, name)
	all := maps.Clone(old)
	maps.Copy(all, current)
	var changes []Change
	for _, n := range slices.Sorted(maps.Keys(all)) {
		a, inOld := old[n]
		b, inCurrent := current[n]
		c := Change{Kind: Changed, Item: field + "." + n, Before: a, After: b}
		switch {
		case !inOld:
			c.Kind = Added
		case !inCurrent:
			c.Kind = Removed
		case reflect.DeepEqual(a, b):
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// byName gives each item's JSON. Items are compared in that form, since equal
// times in two zones and an empty against an absent map mean the same.
func byName[T any](items []T, name func(T) string) map[string]json.RawMessage {
	byName := make(map[string]json.RawMessage, len(items))
	for _, item := range items {
		data, err := json.Marshal(item)
		if err != nil {
			// Only a value that JSON cannot hold, such as NaN, comes here; its
			// document is refused by Validate.
			data = []byte(`null`)
		}
		byName[name(item)] = data
	}
	return byName
}
