package kqdocument

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

const (
	// Added items exist only in the second document.
	Added ChangeKind = "added"
	// Removed items exist only in the first document.
	Removed ChangeKind = "removed"
	// Changed items exist in both documents and differ.
	Changed ChangeKind = "changed"
)

type (
	// ChangeKind is the way in which an item differs.
	ChangeKind string

	// Change is one item that differs between two documents.
	Change struct {
		Kind ChangeKind `json:"kind"`
		// Item identifies the item in the form "routes.checkout".
		Item string `json:"item"`
		// Before and After are the item's JSON in each document, nil if the
		// document lacks it.
		Before json.RawMessage `json:"before,omitempty"`
		After  json.RawMessage `json:"after,omitempty"`
	}
)

// Diff returns the items that differ between two documents: teams, policies, services,
// routes, rollouts, evacuations and workspaces, each sorted by name. The order of items within the documents is
// not compared. Of several items with the same name only the last is compared.
func Diff(before, after Document) []Change {
	var changes []Change
	changes = append(changes, diff("teams", before.Teams, after.Teams, func(t Team) string { return string(t.Name) })...)
	changes = append(changes, diff("policies", before.Policies, after.Policies, func(p Policy) string { return string(p.Name) })...)
	changes = append(changes, diff("services", before.Services, after.Services, func(s Service) string { return string(s.Name) })...)
	changes = append(changes, diff("routes", before.Routes, after.Routes, func(r Route) string { return string(r.Name) })...)
	changes = append(changes, diff("rollouts", before.Rollouts, after.Rollouts, func(r Rollout) string { return string(r.Name) })...)
	changes = append(changes, diff("evacuations", before.Evacuations, after.Evacuations, func(e Evacuation) string { return string(e.Name) })...)
	changes = append(changes, diff("workspaces", before.Workspaces, after.Workspaces, func(w Workspace) string { return string(w.Name) })...)
	return changes
}

func diff[T any](field string, before, after []T, name func(T) string) []Change {
	beforeByName, afterByName := byName(before, name), byName(after, name)
	all := maps.Clone(beforeByName)
	maps.Copy(all, afterByName)
	var changes []Change
	for _, n := range slices.Sorted(maps.Keys(all)) {
		a, inBefore := beforeByName[n]
		b, inAfter := afterByName[n]
		c := Change{Kind: Changed, Item: field + "." + n, Before: a, After: b}
		switch {
		case !inBefore:
			c.Kind = Added
		case !inAfter:
			c.Kind = Removed
		case reflect.DeepEqual(a, b):
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// byName returns the JSON of each item by its name. Items are compared as JSON, since
// equal times can differ in memory, and an empty and an absent map mean the same. Equal
// times in different time zones count as different.
func byName[T any](items []T, name func(T) string) map[string]json.RawMessage {
	byName := make(map[string]json.RawMessage, len(items))
	for _, item := range items {
		data, err := json.Marshal(item)
		if err != nil {
			// JSON cannot represent a value such as NaN; Validate refuses documents
			// that have one.
			data = []byte(`null`)
		}
		byName[name(item)] = data
	}
	return byName
}
