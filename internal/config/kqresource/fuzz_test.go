package kqresource_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// FuzzDecode feeds roots and objects as a broken peer or platform could give
// them. What is accepted must have one canonical form, or two nodes could hold
// different bytes under one meaning.
func FuzzDecode(f *testing.F) {
	root, objects, err := kqresource.Split(kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "lab"}},
		Services: []kqdocument.Service{{Name: "store", Team: "lab"}},
		Routes:   []kqdocument.Route{{Name: "store", Team: "lab", Host: "store", PathPrefix: "/", Service: "store"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	whole, err := kqresource.Encode(root)
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range objects {
		f.Add(data)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte{0xa1, 0x01, 0xbf, 0xff})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		again(t, data, &kqresource.Root{}, &kqresource.Root{})
		again(t, data, &kqresource.Host{}, &kqresource.Host{})
		again(t, data, &kqresource.Service{}, &kqresource.Service{})
		again(t, data, &kqresource.Ownership{}, &kqresource.Ownership{})
	})
}

func again(t *testing.T, data []byte, first, second any) {
	t.Helper()
	if kqresource.Decode(data, first) != nil {
		return
	}
	canonical, err := kqresource.Encode(first)
	if err != nil {
		return
	}
	if err := kqresource.Decode(canonical, second); err != nil {
		t.Fatalf("own bytes of %T: %v", first, err)
	}
	if twice, err := kqresource.Encode(second); err != nil || string(twice) != string(canonical) {
		t.Fatalf("%T has two canonical forms, %v", first, err)
	}
}
