package kqmembersync

import (
	"context"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodHeartbeat = "m.b"
	methodCompare   = "m.c"
)

type (
	// heartbeat holds the sender's incarnation, the combined hash of the records in its
	// member table, the newest configuration version whose root it holds (Newest), and the
	// version that it applies (AppliedVersion).
	heartbeat struct {
		Incarnation    uint64               `cbor:"1,keyasint"`
		Records        uint64               `cbor:"2,keyasint"`
		Newest         kqname.ConfigVersion `cbor:"3,keyasint"`
		AppliedVersion kqname.ConfigVersion `cbor:"4,keyasint"`
	}

	// heartbeatAnswer holds the receiver's own heartbeat and name. AppliedVersions is the
	// hash of the versions that the members of its table apply.
	heartbeatAnswer struct {
		heartbeat
		Node            kqname.Node `cbor:"5,keyasint"`
		AppliedVersions uint64      `cbor:"6,keyasint"`
		// NeedsComparison reports that the receiver has no record of the sender, has one of
		// another incarnation, or holds it suspect or dead.
		NeedsComparison bool `cbor:"7,keyasint,omitempty"`
	}

	// comparison requests the records of the buckets whose hashes differ. Records holds
	// the sender's hash of each bucket.
	comparison struct {
		Records         []uint64                 `cbor:"1,keyasint"`
		AppliedVersions kqmember.AppliedVersions `cbor:"2,keyasint"`
	}

	// comparisonAnswer holds the numbers of the buckets that differ, and the receiver's
	// records in them. AppliedVersions covers the receiver's whole table.
	comparisonAnswer struct {
		Buckets         []int                    `cbor:"1,keyasint"`
		Members         []kqmember.Member        `cbor:"2,keyasint"`
		AppliedVersions kqmember.AppliedVersions `cbor:"3,keyasint"`
		// BusyMS is how long the receiver's budget stays exhausted, in milliseconds.
		// If it is set, all other fields are empty.
		BusyMS int64 `cbor:"4,keyasint,omitempty"`
	}
)

// sendHeartbeat sends a heartbeat in its own goroutine, so that a peer that hangs
// does not delay others. It does nothing while one to the same peer is in flight.
func (s *Synchronizer) sendHeartbeat(ctx context.Context, to kqname.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to == "" || s.busy[to] || ctx.Err() != nil {
		return
	}
	s.busy[to] = true
	s.group.Go(func() {
		defer func() {
			s.mu.Lock()
			delete(s.busy, to)
			s.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		kqsupervisor.From(ctx).RunRecovered("heartbeat", func() { s.heartbeat(ctx, to) })
	})
}

// heartbeat sends a heartbeat and records the answer. It compares tables if the peer
// asks for it or is not in the table, or if the hashes differ and mayCompare allows it.
func (s *Synchronizer) heartbeat(ctx context.Context, to kqname.Address) {
	summary := s.table.Summary()
	a, err := kqrpc.Call[heartbeat, heartbeatAnswer](ctx, s.client, to, methodHeartbeat, s.ownHeartbeat(summary))
	if err != nil || a.Node == s.table.Self().Node {
		return
	}
	s.recordHeartbeat(a.Node, a.heartbeat, to)
	s.versions.PeerAnswered(a.Node, a.Newest)
	_, known := s.table.Find(a.Node)
	if a.NeedsComparison || !known {
		s.compare(ctx, to)
		return
	}
	if (a.Records != summary.Hash() || a.AppliedVersions != summary.AppliedVersions) && s.mayCompare(time.Now()) {
		s.compare(ctx, to)
	}
}

func (s *Synchronizer) ownHeartbeat(summary kqmember.Summary) heartbeat {
	self := s.table.Self()
	return heartbeat{Incarnation: self.Incarnation, Records: summary.Hash(), Newest: s.versions.Newest(), AppliedVersion: self.AppliedVersion}
}

func (s *Synchronizer) answerHeartbeat(_ context.Context, from kqname.Node, q heartbeat) (heartbeatAnswer, error) {
	m, ok := s.table.Find(from)
	if ok {
		s.recordHeartbeat(from, q, m.Control)
		s.versions.PeerAnswered(from, q.Newest)
	}
	summary := s.table.Summary()
	return heartbeatAnswer{
		heartbeat: s.ownHeartbeat(summary), Node: s.table.Self().Node, AppliedVersions: summary.AppliedVersions,
		NeedsComparison: !ok || m.Incarnation != q.Incarnation || m.State == kqmember.Suspect || m.State == kqmember.Dead,
	}, nil
}

// recordHeartbeat passes a heartbeat, or the one in an answer, of the peer at an address
// to the failure detector, the table and versions.
func (s *Synchronizer) recordHeartbeat(n kqname.Node, b heartbeat, at kqname.Address) {
	s.mu.Lock()
	s.detector.RecordHeartbeat(n, time.Now())
	s.mu.Unlock()
	s.table.SetAppliedVersion(n, b.AppliedVersion)
	s.versions.VersionSeen(b.Newest, at)
}

// mayCompare reports whether tables whose hashes differ may be compared now: at most
// once per compareBeats heartbeats, and only while the budget allows bulk traffic. Right
// after a change all tables differ until the flood has reached them, so comparing more
// often would only cost traffic. If it returns true, the interval starts again.
func (s *Synchronizer) mayCompare(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastCompared) < compareBeats*s.interval || s.budget.Delay(now) > 0 {
		return false
	}
	s.lastCompared = now
	return true
}

// compare merges this table and a peer's so that both hold the newer records. Neither
// node floods the records that it receives, since other nodes compare too. A node that
// learns of its first members sends heartbeats to them at once.
func (s *Synchronizer) compare(ctx context.Context, to kqname.Address) {
	own := s.table.Summary()
	a, err := kqrpc.Call[comparison, comparisonAnswer](ctx, s.client, to, methodCompare, comparison{Records: own.Records[:], AppliedVersions: s.table.AppliedVersions()})
	if err != nil || a.BusyMS > 0 {
		return
	}
	wasAlone := len(s.table.Members()) == 1
	theirs := make(map[kqname.Node]kqmember.Member, len(a.Members))
	for _, m := range a.Members {
		theirs[m.Node] = m
		s.table.Merge(m)
	}
	s.table.MergeAppliedVersions(a.AppliedVersions)
	if wasAlone && len(theirs) > 1 {
		select {
		case s.beatNow <- struct{}{}:
		default:
		}
	}
	differs := make(map[int]bool)
	for _, b := range a.Buckets {
		differs[b] = true
	}
	var newer []kqmember.Member
	for _, m := range s.table.RecordsInBuckets(func(b int) bool { return differs[b] }) {
		if t, ok := theirs[m.Node]; !ok || m.Incarnation > t.Incarnation || m.Incarnation == t.Incarnation && m.State > t.State {
			newer = append(newer, m)
		}
	}
	if len(newer) > 0 {
		// The error is ignored: the next comparison sends the records again.
		_, _ = kqrpc.Call[updates, empty](ctx, s.client, to, methodUpdates, updates{Members: newer, NoForward: true})
	}
}

func (s *Synchronizer) answerCompare(_ context.Context, _ kqname.Node, q comparison) (comparisonAnswer, error) {
	if wait := s.budget.Delay(time.Now()); wait > 0 {
		return comparisonAnswer{BusyMS: wait.Milliseconds() + 1}, nil
	}
	s.table.MergeAppliedVersions(q.AppliedVersions)
	own := s.table.Summary()
	var a comparisonAnswer
	differs := make(map[int]bool)
	for i, h := range own.Records {
		if i >= len(q.Records) || q.Records[i] != h {
			a.Buckets = append(a.Buckets, i)
			differs[i] = true
		}
	}
	a.Members = s.table.RecordsInBuckets(func(b int) bool { return differs[b] })
	a.AppliedVersions = s.table.AppliedVersions()
	return a, nil
}
