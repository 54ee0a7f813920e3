package kqdelta_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/internal/config/kqdelta"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// root returns a root with a host and a service for each given mark. The mark
// determines their digests.
func root(t testing.TB, version int, marks ...int) (kqresource.Root, kqresource.Digest, []byte) {
	t.Helper()
	r := kqresource.Root{
		Version: kqname.ConfigVersion(version),
		Hosts:   make(map[kqname.Host]kqresource.Parts), Services: make(map[kqname.Service]kqresource.Digest),
	}
	for i, m := range marks {
		r.Hosts[kqname.Host(fmt.Sprintf("host-%d", i))] = kqresource.Parts{kqresource.DigestOf([]byte{byte(m)})}
		r.Services[kqname.Service(fmt.Sprintf("service-%d", i))] = kqresource.DigestOf([]byte{byte(m), 1})
	}
	data, err := kqresource.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return r, kqresource.DigestOf(data), data
}

// Hosts and services are changed, removed and added between two roots, or neither. The
// delta applied to the older root must give exactly the bytes of the newer one;
// otherwise a node would have to pull the whole root.
func TestAppliedDeltaGivesNewerRoot(t *testing.T) {
	old, oldDigest, _ := root(t, 3, 1, 2, 3, 4)
	for _, marks := range [][]int{{1, 2, 3, 4}, {1, 9, 3, 4}, {1, 2}, {1, 2, 3, 4, 5, 6}, nil} {
		next, nextDigest, want := root(t, 7, marks...)
		got, data, err := kqdelta.Between(old, next, oldDigest, nextDigest).Apply(old, oldDigest)
		if err != nil || string(data) != string(want) || got.Version != 7 {
			t.Errorf("marks %v: got version %d, %v, want the newer root", marks, got.Version, err)
		}
	}
}

// FuzzApply applies deltas as a faulty peer could send them. The result must be the root
// that the delta names, or an error.
func FuzzApply(f *testing.F) {
	old, oldDigest, _ := root(f, 3, 1, 2, 3)
	for _, marks := range [][]int{{1, 2}, {4, 5, 6}, {1, 2, 3, 4}} {
		next, nextDigest, _ := root(f, 4, marks...)
		data, err := cbor.Marshal(kqdelta.Between(old, next, oldDigest, nextDigest))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
		data[len(data)/3] ^= 0x55
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d kqdelta.Delta
		if cbor.Unmarshal(data, &d) != nil {
			return
		}
		if _, got, err := d.Apply(old, oldDigest); err == nil && kqresource.DigestOf(got) != d.Result {
			t.Fatal("the result is not the root that the delta names")
		}
	})
}
