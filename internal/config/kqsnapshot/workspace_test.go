package kqsnapshot_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

// BenchmarkWorkspaceOfKey looks up keys among 100,000. The target is under 200 ns and no
// allocation.
func BenchmarkWorkspaceOfKey(b *testing.B) {
	const workspaces, keys = 10000, 10
	list := make([]kqdocument.Workspace, workspaces)
	all := make([][]byte, 0, workspaces*keys)
	for i := range list {
		list[i].Name = kqname.Workspace(fmt.Sprintf("w%d", i))
		for j := range keys {
			key := fmt.Sprintf("key-%d-%d-abcdefgh", i, j)
			all, list[i].KeyDigests = append(all, []byte(key)), append(list[i].KeyDigests, digestOf(key))
		}
	}
	s, _ := withWorkspaces(b, list)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if w, _ := s.WorkspaceOfKey(all[i*7919%len(all)]); w == nil {
			b.Fatal("key is not found")
		}
	}
}
