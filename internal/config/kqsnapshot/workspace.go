package kqsnapshot

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/bits"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// keyIDBits is the length of a KeyID.
const keyIDBits = 64

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
		// keys is sorted by digest.
		keys []workspaceKey
		// starts divides keys into buckets by the first bits of their digests, which are
		// uniform: bucket b is keys[starts[b]:starts[b+1]], and holds about one key. A look-up
		// thus reads two places in memory. In a map among 100,000 keys it took twice as long.
		starts []uint32
		// shift is by how many bits an id is shifted to get its bucket.
		shift uint
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
	x.divide()
	return x, nil
}

// divide sets starts and shift for the sorted keys.
func (x *workspaceIndex) divide() {
	bucketBits := uint(bits.Len(uint(len(x.keys))))
	x.shift = keyIDBits - bucketBits
	x.starts = make([]uint32, 1<<bucketBits+1)
	for i := range x.keys {
		x.starts[idOf(&x.keys[i].digest)>>x.shift+1]++
	}
	for b := range len(x.starts) - 1 {
		x.starts[b+1] += x.starts[b]
	}
}

// bucket returns the keys among which those of the id are. Two keys of one id are not expected,
// but possible.
func (x *workspaceIndex) bucket(id KeyID) []workspaceKey {
	b := id >> x.shift
	return x.keys[x.starts[b]:x.starts[b+1]]
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

// WorkspaceOfKey returns the workspace that holds an API key, or nil if none does, and the key's
// id. The digests are compared in constant time, so that the time of a refusal tells nothing
// about the keys that exist.
func (s *Snapshot) WorkspaceOfKey(key []byte) (*kqdocument.Workspace, KeyID) {
	if s.workspaces == nil || len(key) == 0 {
		return nil, 0
	}
	x, digest := s.workspaces, sha256.Sum256(key)
	id := idOf(&digest)
	bucket := x.bucket(id)
	for i := range bucket {
		if subtle.ConstantTimeCompare(bucket[i].digest[:], digest[:]) == 1 {
			return &x.all[bucket[i].workspace], id
		}
	}
	return nil, id
}

// HoldsKey reports whether a workspace holds a key of the id.
func (s *Snapshot) HoldsKey(w kqname.Workspace, id KeyID) bool {
	if s.workspaces == nil {
		return false
	}
	x := s.workspaces
	for _, k := range x.bucket(id) {
		if idOf(&k.digest) == id && x.all[k.workspace].Name == w {
			return true
		}
	}
	return false
}
