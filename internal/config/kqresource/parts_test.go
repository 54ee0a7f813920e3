package kqresource_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// A route is added to a host that has 800 of them. If all routes were sent again,
// nodes with slow links would fall behind, and callers would get errors for a route
// that was just added.
func TestAddingOneRouteSendsFewBytes(t *testing.T) {
	document := func(routes int) kqdocument.Document {
		d := kqdocument.Document{Services: []kqdocument.Service{{Name: "s", Version: "v1"}}}
		for i := range routes {
			name := kqname.Route(fmt.Sprintf("route-%d", i))
			d.Routes = append(d.Routes, kqdocument.Route{Name: name, Host: "h", PathPrefix: fmt.Sprintf("/p%d/", i), Service: "s"})
		}
		return d
	}
	root, old, err := kqresource.Split(document(800))
	if err != nil {
		t.Fatal(err)
	}
	_, next, err := kqresource.Split(document(801))
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	for digest, data := range next {
		if _, held := old[digest]; !held {
			size += len(data)
		}
	}
	if size > 4<<10 {
		t.Errorf("one more route sends %d bytes, want at most 4 KiB", size)
	}
	joined, err := kqresource.Join(root, old)
	if err != nil {
		t.Fatal(err)
	}
	if want := kqresource.Sorted(document(800)); !reflect.DeepEqual(joined, want) {
		t.Error("the joined parts differ from the document")
	}
}
