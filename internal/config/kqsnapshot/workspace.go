package kqsnapshot

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// KeyID identifies an API key by the first 8 bytes of its digest, from which the key
	// cannot be found. Unlike the key, it may be sent to other nodes and logged.
	KeyID uint64

	// workspaceIndex finds a workspace by the digest of one of its keys. It is immutable.
	workspaceIndex struct {
		// parts holds the decoded workspaces by the digest of their object. The next
		// version reuses those that did not change.
		parts map[kqresource.Digest][]kqdocument.Workspace
		// all is sorted by name.
		all []kqdocument.Workspace
		// keys is sorted by digest, and byID finds the first key of an id in it. Two keys of
		// one id are not expected, but possible.
		keys []workspaceKey
		byID map[KeyID]int32
	}

	workspaceKey struct {
		digest    [sha256.Size]byte
		workspace int32
	}
)

func newWorkspaceIndex(parts map[kqresource.Digest][]kqdocument.Workspace) (*workspaceIndex, error) {
	x := &workspaceIndex{parts: parts}
	for _, part := range parts {
		x.all = append(x.all, part...)
	}
	slices.SortFunc(x.all, func(a, b kqdocument.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	for i, w := range x.all {
		for _, text := range w.KeyDigests {
			digest, err := hex.DecodeString(text)
			if err != nil || len(digest) != sha256.Size {
				return nil, fmt.Errorf("workspace %.64q has a malformed key digest: %w", string(w.Name), ErrInvalid)
			}
			x.keys = append(x.keys, workspaceKey{digest: [sha256.Size]byte(digest), workspace: int32(i)})
		}
	}
	slices.SortFunc(x.keys, func(a, b workspaceKey) int { return slices.Compare(a.digest[:], b.digest[:]) })
	x.byID = make(map[KeyID]int32, len(x.keys))
	for i := len(x.keys) - 1; i >= 0; i-- {
		x.byID[idOf(&x.keys[i].digest)] = int32(i)
	}
	return x, nil
}

func idOf(digest *[sha256.Size]byte) KeyID { return KeyID(binary.BigEndian.Uint64(digest[:])) }

// HasWorkspaces reports whether the version has workspaces, so that callers need API keys.
func (s *Snapshot) HasWorkspaces() bool { return s.workspaces != nil }

// Workspaces returns all workspaces, sorted by name. The caller must not change them.
func (s *Snapshot) Workspaces() []kqdocument.Workspace {
	if s.workspaces == nil {
		return nil
	}
	return s.workspaces.all
}

// Workspace returns the workspace of that name, or nil if there is none.
func (s *Snapshot) Workspace(name kqname.Workspace) *kqdocument.Workspace {
	all := s.Workspaces()
	i, ok := slices.BinarySearchFunc(all, name, func(w kqdocument.Workspace, n kqname.Workspace) int { return cmp.Compare(w.Name, n) })
	if !ok {
		return nil
	}
	return &all[i]
}

// WorkspaceOfKey returns the workspace that holds an API key and the key's id, or nil if none
// does. The digests are compared in constant time, so that the time of a refusal tells
// nothing about the keys that exist.
func (s *Snapshot) WorkspaceOfKey(key []byte) (*kqdocument.Workspace, KeyID) {
	if s.workspaces == nil {
		return nil, 0
	}
	x, digest := s.workspaces, sha256.Sum256(key)
	id := idOf(&digest)
	first, ok := x.byID[id]
	if !ok {
		return nil, 0
	}
	for i := int(first); i < len(x.keys) && idOf(&x.keys[i].digest) == id; i++ {
		if subtle.ConstantTimeCompare(x.keys[i].digest[:], digest[:]) == 1 {
			return &x.all[x.keys[i].workspace], id
		}
	}
	return nil, 0
}

// HoldsKey reports whether a workspace holds a key of the id.
func (s *Snapshot) HoldsKey(w kqname.Workspace, id KeyID) bool {
	if s.workspaces == nil {
		return false
	}
	x := s.workspaces
	first, ok := x.byID[id]
	if !ok {
		return false
	}
	for i := int(first); i < len(x.keys) && idOf(&x.keys[i].digest) == id; i++ {
		if x.all[x.keys[i].workspace].Name == w {
			return true
		}
	}
	return false
}
