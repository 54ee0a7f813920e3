package kqdocument_test

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func validDocument() kqdocument.Document {
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	return kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "shop", MaxRoutes: 5}},
		Policies: []kqdocument.Policy{{Name: "careful", Prefer: kqdocument.PreferTakingBack, SmallShare: 0.01}},
		Services: []kqdocument.Service{{Name: "store", Team: "shop", Version: "v1", TimeoutMS: 2000}},
		Routes: []kqdocument.Route{
			{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store"},
			{Name: "store-beta", Team: "shop", Host: "store", PathPrefix: "/", Service: "store", Headers: map[string]string{"X-Beta": "yes"}},
		},
		Rollouts: []kqdocument.Rollout{
			{Name: "two", Team: "shop", Service: "store", From: "v1", To: "v2", Policy: "careful", Start: start, Deadline: start.Add(time.Hour)},
			{Name: "three", Team: "shop", Service: "store", From: "v2", To: "v3", Policy: "careful", Start: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour)},
		},
	}
}

// Guards against mistakes of operators that reach the nodes. Each must be reported at
// its field before the document is committed.
func TestEachProblemIsReportedAtItsField(t *testing.T) {
	if problems := kqdocument.Validate(validDocument()); len(problems) > 0 {
		t.Fatalf("the valid document has problems: %v", problems)
	}
	farFuture := time.Date(12026, 1, 1, 0, 0, 0, 0, time.UTC)
	for want, corrupt := range map[string]func(*kqdocument.Document){
		"teams[0].name":                 func(d *kqdocument.Document) { d.Teams[0].Name = kqname.Team(strings.Repeat("x", 65)) },
		"teams[0].max_routes":           func(d *kqdocument.Document) { d.Teams[0].MaxRoutes = 1 },
		"teams[0].max_rollouts":         func(d *kqdocument.Document) { d.Teams[0].MaxRollouts = -1 },
		"policies[0].small_share":       func(d *kqdocument.Document) { d.Policies[0].SmallShare = math.NaN() },
		"policies[0].prefer":            func(d *kqdocument.Document) { d.Policies[0].Prefer = "" },
		"services[0].timeout_ms":        func(d *kqdocument.Document) { d.Services[0].TimeoutMS = 600001 },
		"services[0].version":           func(d *kqdocument.Document) { d.Services[0].Version = "V 1" },
		"services[1].name":              func(d *kqdocument.Document) { d.Services = append(d.Services, d.Services[0]) },
		"routes[0].service":             func(d *kqdocument.Document) { d.Routes[0].Service = "gone" },
		"routes[0].timeout_ms":          func(d *kqdocument.Document) { d.Routes[0].TimeoutMS = 2001 },
		"routes[0].path_prefix":         func(d *kqdocument.Document) { d.Routes[0].PathPrefix = "/a/../b" },
		"routes[0].method":              func(d *kqdocument.Document) { d.Routes[0].Method = "get" },
		"routes[0].host":                func(d *kqdocument.Document) { d.Routes[0].Host = "Store" },
		"routes[0].class":               func(d *kqdocument.Document) { d.Routes[0].Class = "urgent" },
		"routes[1]":                     func(d *kqdocument.Document) { d.Routes[1].Headers = nil },
		`routes[1].headers["X:Beta"]`:   func(d *kqdocument.Document) { d.Routes[1].Headers = map[string]string{"X:Beta": "yes"} },
		`routes[1].headers["Kq-Depth"]`: func(d *kqdocument.Document) { d.Routes[1].Headers = map[string]string{"Kq-Depth": "0"} },
		`routes[1].headers["x-a"]`:      func(d *kqdocument.Document) { d.Routes[1].Headers = map[string]string{"X-A": "1", "x-a": "2"} },
		`routes[1].headers["X-A"]`:      func(d *kqdocument.Document) { d.Routes[1].Headers = map[string]string{"X-A": "1\r\nX-B: 2"} },
		"rollouts[0].from":              func(d *kqdocument.Document) { d.Rollouts[0].From = "v9" },
		"rollouts[0].to":                func(d *kqdocument.Document) { d.Rollouts[0].To = "v1" },
		"rollouts[0].policy":            func(d *kqdocument.Document) { d.Rollouts[0].Policy = "none" },
		"rollouts[0].start":             func(d *kqdocument.Document) { d.Rollouts[0].Start = time.Time{} },
		"rollouts[1].deadline":          func(d *kqdocument.Document) { d.Rollouts[1].Deadline = farFuture },
		"rollouts[1].start":             func(d *kqdocument.Document) { d.Rollouts[1].Start = d.Rollouts[0].Start.Add(time.Minute) },
		"rollouts[0].service":           func(d *kqdocument.Document) { d.Services[0].Version = "" },
	} {
		t.Run(want, func(t *testing.T) {
			d := validDocument()
			corrupt(&d)
			problems := kqdocument.Validate(d)
			if !slices.ContainsFunc(problems, func(p kqdocument.Problem) bool { return p.Path == want }) {
				t.Errorf("problems %v, want one at %s", problems, want)
			}
			if again := kqdocument.Validate(d); !slices.Equal(problems, again) {
				t.Errorf("a second validation returned other problems: %v", again)
			}
		})
	}
}

// Guards against a version that every node refuses although the platform has accepted it, and
// against operators who are not told of a likely mistake before their change is stored.
func TestPathPrefixes(t *testing.T) {
	for prefix, want := range map[string]struct{ valid, adopted bool }{
		"/a/": {true, true}, "/": {true, true}, "/caf%C3%A9/": {true, true}, "/caf%c3%a9/": {true, true}, "/~a%20b/": {true, true},
		"/caf\u00e9/": {false, true}, "/50%/": {false, true}, "/%2e%2e/": {false, true}, "/a//b/": {false, true}, "/./": {false, true}, "/a?b/": {false, true},
		"/" + strings.Repeat("x", 600): {false, true}, "": {}, "a/": {}, "/" + strings.Repeat("x", 64<<10): {},
	} {
		d := validDocument()
		d.Routes[0].PathPrefix = prefix
		if problems := kqdocument.Validate(d); (len(problems) == 0) != want.valid {
			t.Errorf("%.40q: problems %v, want valid %v", prefix, problems, want.valid)
		}
		if problems := kqdocument.ValidateAdopted(d); (len(problems) == 0) != want.adopted {
			t.Errorf("%.40q, adopted: problems %v, want valid %v", prefix, problems, want.adopted)
		}
	}
}

// Guards against a version that is refused because orders for two services were written
// together, under one revision, and against two orders that cannot be told apart.
func TestRolloutsOfTwoServicesMayShareTheirName(t *testing.T) {
	d := validDocument()
	d.Services = append(d.Services, kqdocument.Service{Name: "other", Team: "shop"})
	order := kqdocument.Rollout{Name: "order-9", Team: "shop", Service: "store", To: "v2", Policy: "careful", DurationMS: 1000}
	second := order
	second.Service = "other"
	d.Rollouts = []kqdocument.Rollout{order, second}
	if problems := kqdocument.ValidateAdopted(d); len(problems) > 0 {
		t.Errorf("problems %v", problems)
	}
	if problems := kqdocument.Validate(d); len(problems) == 0 {
		t.Error("two rollouts of one name are valid for operators who choose the names")
	}
	d.Rollouts[1].Service = "store"
	if problems := kqdocument.ValidateAdopted(d); len(problems) == 0 {
		t.Error("two rollouts of one service and name are valid")
	}
}

// Guards against malformed files that are accepted in part: truncated, misspelled or too
// large ones, and duplicate fields, of which the JSON library would drop the first
// silently.
func TestParseRefusesMalformedDocuments(t *testing.T) {
	for text, want := range map[string]error{
		`{"services":[`:                                 kqdocument.ErrSyntax,
		`{"servises":[]}`:                               kqdocument.ErrSyntax,
		`{"services":[],"Services":[]}`:                 kqdocument.ErrSyntax,
		`{"teams":[{"name":"a","name":"b"}]}`:           kqdocument.ErrSyntax,
		`{} {}`:                                         kqdocument.ErrSyntax,
		`{"teams":[{"name":3}]}`:                        kqdocument.ErrSyntax,
		`{` + strings.Repeat(" ", 2<<20) + `}`:          kqdocument.ErrTooLarge,
		`{"rollouts":[{"start":"99999-01-01T00:00Z"}]}`: kqdocument.ErrSyntax,
	} {
		if _, err := kqdocument.Parse([]byte(text)); !errors.Is(err, want) {
			t.Errorf("%.40q: %v, want %v", text, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"teams":[{"name":"shop"}],"services":[{"name":"store","team":"shop"}]}`))
	f.Add([]byte(`{"routes":[{"headers":{"A":"b"}}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if d, err := kqdocument.Parse(data); err == nil {
			kqdocument.Validate(d)
		}
	})
}
