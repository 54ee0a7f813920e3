package kqrateshare_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqrateshare"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var start = time.Unix(1000, 0)

func limit(kqrateshare.Workspace) (kqadmission.Limit, bool) {
	return kqadmission.Limit{PerSecond: 100, Burst: 100}, true
}

// report makes a node report calls of workspace 1 that it admitted in half a second.
func report(s *kqrateshare.Shard, from kqname.Node, portion float64, calls int64, now time.Time) {
	s.Record(from, kqrateshare.Report{
		Portion: portion, Covered: 500 * time.Millisecond,
		Counts: map[kqrateshare.Workspace]kqrateshare.Counts{1: {Arrived: calls, Admitted: calls}},
	}, limit, now)
}

func share(s *kqrateshare.Shard, now time.Time) float64 { return s.Use(limit, now)[1].Answer.Share }

// Guards against a coordinator that stood still and gives out the rate of that time: of two that
// see the same reports after 60 s of calls at the rate, the one that then stood still for 1.2 s
// may not allow more.
func TestStandstillFillsNothing(t *testing.T) {
	steady, frozen, now := kqrateshare.New(), kqrateshare.New(), start
	for range 120 {
		now = now.Add(500 * time.Millisecond)
		report(steady, "a", 1, 50, now)
		report(frozen, "a", 1, 50, now)
	}
	report(steady, "a", 1, 400, now.Add(500*time.Millisecond))
	report(frozen, "a", 1, 400, now.Add(1200*time.Millisecond))
	if a, b := share(steady, now.Add(500*time.Millisecond)), share(frozen, now.Add(1200*time.Millisecond)); b > a+0.01 || a >= 1 {
		t.Errorf("share %.3f, and %.3f after a standstill", a, b)
	}
}

// Guards against two coordinators that each give out the whole rate: nodes that lend half of the
// portions to each must be told to keep to half of it.
func TestTwoCoordinatorsDivideTheRate(t *testing.T) {
	s, now := kqrateshare.New(), start
	for range 60 {
		now = now.Add(500 * time.Millisecond)
		report(s, "a", 0.25, 25, now)
		report(s, "b", 0.25, 25, now)
	}
	// 100 calls a second arrive here; half of them may be admitted.
	if got := share(s, now); got > 0.6 {
		t.Errorf("share %.2f while 0.5 of the rate is lent, want 0.5 at most", got)
	}
}

// Guards against a burst that is granted again after the nodes have used another coordinator.
func TestBucketIsEmptyAfterTheNodesWereAway(t *testing.T) {
	s, now := kqrateshare.New(), start
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		report(s, "a", 1, 1, now)
	}
	now = now.Add(4 * time.Second)
	report(s, "a", 1, 75, now)
	if got := share(s, now); got >= 1 {
		t.Errorf("share %.2f right after the nodes have come back, want the burst to be gone", got)
	}
	if !s.IsLearning(now) {
		t.Error("the shard answers before all nodes can have reported")
	}
}

// Guards against false reports that fill the bucket beyond the time that has passed.
func TestReportsFillNoMoreThanTheTimePassed(t *testing.T) {
	s, now := kqrateshare.New(), start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		report(s, "a", 1, 15, now)
	}
	if got := share(s, now); got > 0.8 {
		t.Errorf("share %.2f at 1.5 times the rate, want 0.67", got)
	}
}
