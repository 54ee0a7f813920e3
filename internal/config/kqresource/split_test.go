package kqresource_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260102", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// A document is written again in another order, with another time zone and with empty
// instead of nil header maps. Its digests must be the same, or every node would fetch
// all objects again; and joining the objects must return the document.
func TestEqualDocumentsHaveEqualDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		root, objects, err := kqresource.Split(d)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := kqresource.Join(root, objects)
		if err != nil {
			t.Fatal(err)
		}
		if want := kqresource.Sorted(d); !reflect.DeepEqual(joined, want) {
			t.Fatalf("joined %+v, want %+v", joined, want)
		}
		other, _, err := kqresource.Split(rewrite(t, d))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(root, other) {
			t.Fatalf("root %+v, rewritten %+v", root, other)
		}
	})
}

// drawDocument returns a random document.
func drawDocument(t *rapid.T) kqdocument.Document {
	d := kqdocument.Document{Teams: []kqdocument.Team{{Name: "a"}, {Name: "b"}}, Policies: []kqdocument.Policy{{Name: "p", SmallShare: 0.01}}}
	start := time.Date(2026, 1, 2, 3, 4, 5, 600, time.UTC)
	for i := range rapid.IntRange(1, 5).Draw(t, "services") {
		name := kqname.Service(fmt.Sprintf("s%d", i))
		d.Services = append(d.Services, kqdocument.Service{Name: name, Team: "a", Version: "v1"})
		for j := range rapid.IntRange(0, 3).Draw(t, "routes") {
			r := kqdocument.Route{Name: kqname.Route(fmt.Sprintf("r%d-%d", i, j)), Host: kqname.Host(fmt.Sprintf("h%d", j)), PathPrefix: "/", Service: name}
			if rapid.Bool().Draw(t, "headers") {
				r.Headers = map[string]string{"X-A": "1", "X-B": "2"}
			}
			d.Routes = append(d.Routes, r)
		}
		if rapid.Bool().Draw(t, "rollout") {
			d.Rollouts = append(d.Rollouts, kqdocument.Rollout{
				Name: kqname.Rollout(fmt.Sprintf("m%d", i)), Service: name, Policy: "p", Start: start, Deadline: start.Add(time.Hour),
			})
		}
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "workspaces") {
		d.Workspaces = append(d.Workspaces, kqdocument.Workspace{Name: kqname.Workspace(fmt.Sprintf("w%d", i)), RatePerS: 2})
	}
	return d
}

// rewrite returns an equal document in another order, time zone and form of headers.
func rewrite(t *rapid.T, d kqdocument.Document) kqdocument.Document {
	d.Teams = rapid.Permutation(d.Teams).Draw(t, "teams")
	d.Services = rapid.Permutation(d.Services).Draw(t, "services")
	d.Routes = slices.Clone(d.Routes)
	for i := range d.Routes {
		if d.Routes[i].Headers == nil {
			d.Routes[i].Headers = map[string]string{}
		}
	}
	d.Rollouts = slices.Clone(d.Rollouts)
	for i := range d.Rollouts {
		d.Rollouts[i].Start = d.Rollouts[i].Start.In(time.FixedZone("east", 3600))
	}
	d.Workspaces = rapid.Permutation(d.Workspaces).Draw(t, "workspaces in order")
	slices.Reverse(d.Routes)
	slices.Reverse(d.Rollouts)
	return d
}
