package kqsnapshot_test

import (
	"fmt"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const host = "shop"

func build(tb testing.TB, routes []kqdocument.Route) *kqsnapshot.Snapshot {
	tb.Helper()
	objects := make(kqresource.Objects)
	const team = "makers"
	add := func(value any) kqresource.Digest {
		d, err := objects.Add(value)
		if err != nil {
			tb.Fatal(err)
		}
		return d
	}
	root := kqresource.Root{
		Version: 1, Services: make(map[kqname.Service]kqresource.Digest),
		Hosts: map[kqname.Host]kqresource.Parts{host: {add(kqresource.Host{Name: host, Routes: routes})}},
	}
	for _, r := range routes {
		root.Services[r.Service] = add(kqresource.Service{Service: kqdocument.Service{Name: r.Service, Team: team}})
	}
	s, _, err := kqsnapshot.Build(root, objects, []kqname.Host{host}, nil)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func route(name, prefix, method string, headers map[string]string) kqdocument.Route {
	return kqdocument.Route{Name: kqname.Route(name), Host: host, PathPrefix: prefix, Method: method, Headers: headers, Service: "store", Team: "makers"}
}

// If several routes match a call, the longest prefix must win, then the most
// headers, then a method; otherwise calls reach the wrong service.
func TestMostSpecificRouteWins(t *testing.T) {
	s := build(t, []kqdocument.Route{
		route("all", "/", "", nil), route("orders", "/orders", "", nil), route("post", "/orders", "POST", nil),
		route("trial", "/orders", "", map[string]string{"Trial": "yes"}), route("one", "/orders/1", "GET", nil),
	})
	for _, c := range []struct{ path, method, trial, want string }{
		{"/", "GET", "", "all"},
		{"/order", "GET", "", "all"},
		{"/orders", "GET", "", "orders"},
		{"/orders/2", "POST", "", "post"},
		{"/orders/2", "POST", "yes", "trial"},
		{"/orders/1", "GET", "yes", "one"},
		{"/orders/1", "POST", "", "post"},
	} {
		got, ok := s.Match(kqsnapshot.Request{Host: host, Path: c.path, Method: c.method, Header: func(string) string { return c.trial }})
		if !ok || string(got.Name) != c.want {
			t.Errorf("%s %s with trial %q matches route %q, want %q", c.method, c.path, c.trial, got.Name, c.want)
		}
	}
	if _, ok := s.Match(kqsnapshot.Request{Host: "other", Path: "/"}); ok {
		t.Error("a route matches for a host without routes")
	}
}

// Guards against a request that gets 404 on a route that is there, since caller and operator
// write an equivalent path in two ways, and against one that reaches a neighbour's route.
func TestEquivalentPathsReachTheRoute(t *testing.T) {
	s := build(t, []kqdocument.Route{
		route("all", "/", "", nil), route("upper", "/caf%C3%A9/", "", nil), route("plain", "/th\u00e9/", "", nil), route("deep", "/caf%C3%A9/1/", "", nil),
		route("tilde", "/~a/", "", nil), route("escaped", "/%7Ea/", "", nil), route("double", "//x/", "", nil), route("dots", "/d/../x/", "", nil), route("percent", "/50%/", "", nil),
	})
	for path, want := range map[string]string{
		"/caf%C3%A9/1": "upper", "/caf%c3%a9/2": "upper", "/caf\u00e9/2": "upper", "/cafe/2": "all", "/caf%C3%A9": "all", "/caf%C3%A9%2F1/2": "all",
		"/caf%c3%a9/1/2": "deep", "/th%C3%A9/1": "plain", "/%74h%c3%a9/1": "plain",
		"/~a/1": "tilde", "/%7Ea/1": "escaped", "/%7ea/1": "escaped", "//x/1": "double", "/x/1": "all", "/d/../x/1": "dots", "/50%/1": "percent", "/50%25/1": "percent",
	} {
		if got, _ := s.Match(kqsnapshot.Request{Host: host, Path: path, Method: "GET"}); string(got.Name) != want {
			t.Errorf("%s matches route %q, want %q", path, got.Name, want)
		}
	}
}

// BenchmarkMatch matches in the worst case: all 2,000 routes of 89 services on one host.
func BenchmarkMatch(b *testing.B) {
	var routes []kqdocument.Route
	for i := range 2000 {
		r := route(fmt.Sprint("r", i), fmt.Sprintf("/service-%d/%0*d", i%89, i%20+1, i), "", nil)
		r.Service = kqname.Service(fmt.Sprint("s", i%89))
		routes = append(routes, r)
	}
	routes = append(routes, route("all", "/", "", nil))
	s := build(b, routes)
	for name, path := range map[string]string{"longest prefix": routes[1999].PathPrefix + "/x", "catch-all": "/service-1/nothing/of/the/kind/here"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Match(kqsnapshot.Request{Host: host, Path: path, Method: "GET"}); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
