package kqmember_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func member(n int, incarnation uint64, state kqmember.State) kqmember.Member {
	return kqmember.Member{Node: kqname.Node(fmt.Sprintf("node-%d", n)), Control: "127.0.0.1:1", Incarnation: incarnation, State: state}
}

// Guards against two tables that stay different although nodes compare them: calls of
// one node would be sent to upstreams that have gone. Records arrive in any order,
// duplicated or lost, and the two tables then exchange all buckets.
func TestTablesConvergeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := kqmember.NewTable(member(100, 1, kqmember.Alive)), kqmember.NewTable(member(101, 1, kqmember.Alive))
		for range rapid.IntRange(0, 40).Draw(t, "records") {
			m := member(rapid.IntRange(0, 6).Draw(t, "node"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				kqmember.State(rapid.IntRange(0, 3).Draw(t, "state")))
			for _, table := range []*kqmember.Table{a, b} {
				if rapid.Bool().Draw(t, "arrives") {
					before, known := table.Find(m.Node)
					table.Merge(m)
					if after, _ := table.Find(m.Node); known && after.Incarnation < before.Incarnation {
						t.Fatalf("incarnation of %s fell from %d to %d", m.Node, before.Incarnation, after.Incarnation)
					}
				}
			}
		}
		all := func(int) bool { return true }
		for range 2 {
			for _, m := range a.RecordsInBuckets(all) {
				b.Merge(m)
			}
			for _, m := range b.RecordsInBuckets(all) {
				a.Merge(m)
			}
			// A suspect that does not refute in time is declared dead.
			for _, table := range []*kqmember.Table{a, b} {
				for _, m := range table.Members() {
					if m.State == kqmember.Suspect {
						m.State = kqmember.Dead
						table.Declare(m)
					}
				}
			}
		}
		if a.Summary().Records != b.Summary().Records {
			t.Fatalf("tables differ:\n%v\n%v", a.Members(), b.Members())
		}
	})
}

// Guards against a node that was only slow, receives a record of its own death and then
// never gets calls again. It must announce itself alive under a higher incarnation.
func TestNodeRefutesItsOwnDeath(t *testing.T) {
	table := kqmember.NewTable(member(1, 5, kqmember.Alive))
	var announced kqmember.Member
	table.OnChange(func(m kqmember.Member) { announced = m })
	table.Merge(member(1, 5, kqmember.Dead))
	if announced.Incarnation <= 5 || announced.State != kqmember.Alive {
		t.Fatalf("announced %+v, want alive with an incarnation over 5", announced)
	}
}

// Guards against tables that grow with every replaced server. The record of a dead node
// is dropped after some time, but peers that learned of the death later still send it;
// it must not be added again unless it has a new incarnation.
func TestPrunedDeadMembersStayPruned(t *testing.T) {
	table := kqmember.NewTable(member(1, 1, kqmember.Alive))
	table.Merge(member(2, 1, kqmember.Dead))
	start := time.Unix(0, 0)
	table.PruneDead(start.Add(-time.Hour), start)
	table.PruneDead(start.Add(time.Hour), start.Add(2*time.Hour))
	table.Merge(member(2, 1, kqmember.Dead))
	if _, ok := table.Find("node-2"); ok {
		t.Fatal("the pruned dead member was added again")
	}
	table.Merge(member(2, 2, kqmember.Alive))
	if _, ok := table.Find("node-2"); !ok {
		t.Fatal("a pruned member that restarted was not added")
	}
}
