package kqsnapshot_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// withWorkspaces returns a snapshot of a document with the workspaces, and its objects.
func withWorkspaces(tb testing.TB, list []kqdocument.Workspace) (*kqsnapshot.Snapshot, kqresource.Objects) {
	tb.Helper()
	root, objects, err := kqresource.Split(kqdocument.Document{Workspaces: list})
	if err != nil {
		tb.Fatal(err)
	}
	s, _, err := kqsnapshot.Build(root, objects, nil, nil)
	if err != nil {
		tb.Fatal(err)
	}
	return s, objects
}

func digestOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// Guards against a key that is taken for another workspace's, and against a version that is
// applied without some of its workspaces, whose callers would be refused.
func TestWorkspaceOfKey(t *testing.T) {
	var list []kqdocument.Workspace
	for i := range 100 {
		list = append(list, kqdocument.Workspace{Name: kqname.Workspace(fmt.Sprintf("w%d", i)), KeyDigests: []string{digestOf(fmt.Sprint("key", i)), digestOf(fmt.Sprint("other", i))}})
	}
	s, objects := withWorkspaces(t, list)
	for i := range 100 {
		w, id := s.WorkspaceOfKey([]byte(fmt.Sprint("other", i)))
		if w == nil || w.Name != list[i].Name || !s.HoldsKey(w.Name, id) || s.HoldsKey("w", id) {
			t.Fatalf("key of workspace %d is found in %+v", i, w)
		}
	}
	if w, _ := s.WorkspaceOfKey([]byte("key")); w != nil {
		t.Errorf("an unknown key is found in %+v", w)
	}
	delete(objects, s.Root().Workspaces[0])
	if _, missing, err := kqsnapshot.Build(s.Root(), objects, nil, nil); err == nil || len(missing) != 1 {
		t.Error("a version that lacks a part of its workspaces is built")
	}
}

// BenchmarkWorkspaceOfKey looks up keys among 100,000, in random order. The target is under 200 ns
// and no allocation. The keys lie one behind the other as they are looked up, so that reading a
// key, which a call has just done, does not count as a part of its look-up.
func BenchmarkWorkspaceOfKey(b *testing.B) {
	const workspaces, keys, length = 10000, 10, 24
	list := make([]kqdocument.Workspace, workspaces)
	all := make([]byte, workspaces*keys*length)
	for i, at := range rand.New(rand.NewPCG(1, 1)).Perm(workspaces * keys) {
		key := all[at*length : (at+1)*length]
		copy(key, fmt.Sprintf("key-%05d-%d-abcdefghijklm", i/keys, i%keys))
		w := &list[i/keys]
		w.Name, w.KeyDigests = kqname.Workspace(fmt.Sprintf("w%d", i/keys)), append(w.KeyDigests, digestOf(string(key)))
	}
	s, _ := withWorkspaces(b, list)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		at := i % (workspaces * keys) * length
		if w, _ := s.WorkspaceOfKey(all[at : at+length]); w == nil {
			b.Fatal("key is not found")
		}
	}
}
