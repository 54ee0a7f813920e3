package kqmember

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Buckets is how many parts a table is compared by: at 550 members, one that
// differs costs the records of about 9 and not of all.
const Buckets = 64

type (
	// Summary stands for a whole table. Equal tables have equal summaries; the
	// configuration versions that members hold are summed apart.
	Summary struct {
		Records [Buckets]uint64
		Configs uint64
	}

	// Configs gives the name hashes of the members that hold each version.
	Configs map[kqname.ConfigVersion][]uint64
)

// Hash returns the hash of all records.
func (s Summary) Hash() uint64 {
	var all uint64
	for i, h := range s.Records {
		all ^= mix(h, uint64(i))
	}
	return all
}

// Summary returns the summary of the table.
func (t *Table) Summary() Summary {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.summary
}

// fold adds a record, or takes it out again. The dead are not summed, since
// nodes forget them at different times.
func (s *Summary) fold(m Member) {
	if m.State == Dead {
		return
	}
	h := name(m.Node)
	s.Records[h%Buckets] ^= mix(h, m.Incarnation<<3|uint64(m.State))
	s.Configs ^= mix(h, uint64(m.Config))
}

// Bucket returns the records whose bucket is chosen.
func (t *Table) Bucket(chosen func(bucket int) bool) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []Member
	for n, m := range t.members {
		if chosen(int(name(n) % Buckets)) {
			list = append(list, m)
		}
	}
	return list
}

// Configs returns which members hold which configuration version.
func (t *Table) Configs() Configs {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := make(Configs)
	for n, m := range t.members {
		if m.State != Dead {
			c[m.Config] = append(c[m.Config], name(n))
		}
	}
	return c
}

// MergeConfigs takes in what a peer knows of the versions that members hold.
func (t *Table) MergeConfigs(c Configs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[uint64]kqname.ConfigVersion)
	for v, names := range c {
		for _, h := range names {
			held[h] = v
		}
	}
	for n, m := range t.members {
		if v := held[name(n)]; v > m.Config && n != t.self {
			m.Config = v
			t.set(m)
		}
	}
}

func name(n kqname.Node) uint64 { return xxhash.Sum64String(string(n)) }

func mix(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}
