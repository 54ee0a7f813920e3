package kqmember

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Buckets is the number of parts in which tables are compared. At 550 members a
// single difference costs the transfer of about 9 records instead of all.
const Buckets = 64

type (
	// Summary holds hashes of a table without its dead members. Equal tables have equal
	// summaries.
	Summary struct {
		// Records holds one hash for each bucket, of the names, incarnations and states
		// of the members in it.
		Records [Buckets]uint64
		// AppliedVersions is the hash of the configuration versions that members apply.
		AppliedVersions uint64
	}

	// AppliedVersions maps each configuration version to the name hashes of the members
	// that apply it.
	AppliedVersions map[kqname.ConfigVersion][]uint64
)

// Hash returns the combined hash of all buckets of records.
func (s Summary) Hash() uint64 {
	var all uint64
	for i, h := range s.Records {
		all ^= hashPair(h, uint64(i))
	}
	return all
}

// Summary returns the summary of the table.
func (t *Table) Summary() Summary {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.summary
}

// toggle adds a record to the hashes by XOR, or removes it if it was added before. Dead
// members are left out, since nodes drop them at different times.
func (s *Summary) toggle(m Member) {
	if m.State == Dead {
		return
	}
	h := nameHash(m.Node)
	s.Records[h%Buckets] ^= hashPair(h, m.Incarnation<<3|uint64(m.State))
	s.AppliedVersions ^= hashPair(h, uint64(m.AppliedVersion))
}

// RecordsInBuckets returns the records in the buckets for which chosen returns true.
func (t *Table) RecordsInBuckets(chosen func(bucket int) bool) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []Member
	for n, m := range t.members {
		if chosen(int(nameHash(n) % Buckets)) {
			list = append(list, m)
		}
	}
	return list
}

// AppliedVersions returns which members apply which configuration version, without the
// dead ones.
func (t *Table) AppliedVersions() AppliedVersions {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := make(AppliedVersions)
	for n, m := range t.members {
		if m.State != Dead {
			c[m.AppliedVersion] = append(c[m.AppliedVersion], nameHash(n))
		}
	}
	return c
}

// MergeAppliedVersions raises the configuration versions of members to those that a peer
// knows. This node's own version is not changed.
func (t *Table) MergeAppliedVersions(c AppliedVersions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := make(map[uint64]kqname.ConfigVersion)
	for v, names := range c {
		for _, h := range names {
			applied[h] = v
		}
	}
	for n, m := range t.members {
		if v := applied[nameHash(n)]; v > m.AppliedVersion && n != t.self {
			m.AppliedVersion = v
			t.set(m)
		}
	}
}

func nameHash(n kqname.Node) uint64 { return xxhash.Sum64String(string(n)) }

func hashPair(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}
