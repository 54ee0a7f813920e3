package kqresource_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// FuzzDecode decodes bytes as a faulty peer or platform could send them. A value that
// is accepted must have one canonical encoding; otherwise two nodes could hold
// different bytes for the same content.
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
		checkCanonical(t, data, &kqresource.Root{}, &kqresource.Root{})
		checkCanonical(t, data, &kqresource.Host{}, &kqresource.Host{})
		checkCanonical(t, data, &kqresource.Service{}, &kqresource.Service{})
		checkCanonical(t, data, &kqresource.Ownership{}, &kqresource.Ownership{})
	})
}

// checkCanonical checks that a value decoded from data keeps its encoding when it is
// encoded, decoded and encoded again.
func checkCanonical(t *testing.T, data []byte, first, second any) {
	t.Helper()
	if kqresource.Decode(data, first) != nil {
		return
	}
	canonical, err := kqresource.Encode(first)
	if err != nil {
		return
	}
	if err := kqresource.Decode(canonical, second); err != nil {
		t.Fatalf("canonical encoding of %T cannot be decoded: %v", first, err)
	}
	if reencoded, err := kqresource.Encode(second); err != nil || string(reencoded) != string(canonical) {
		t.Fatalf("%T has two canonical encodings, %v", first, err)
	}
}
