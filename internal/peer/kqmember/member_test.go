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

// News arrives in any order, doubled or lost, and two tables then compare by
// buckets, as nodes do. If they could end up different with equal summaries, or
// differ for ever, callers of one node would be sent to upstreams that are gone.
func TestTablesAgreeWhateverTheOrder(t *testing.T) {
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
						t.Fatalf("%s fell from incarnation %d to %d", m.Node, before.Incarnation, after.Incarnation)
					}
				}
			}
		}
		all := func(int) bool { return true }
		for range 2 {
			for _, m := range a.Bucket(all) {
				b.Merge(m)
			}
			for _, m := range b.Bucket(all) {
				a.Merge(m)
			}
			// What is only suspected is dead once its time to refute is over.
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

// A node was only slow, and hears that it is held to be dead. It would get no
// calls ever again if it did not say otherwise under a higher incarnation.
func TestNodeRefutesItsOwnDeath(t *testing.T) {
	table := kqmember.NewTable(member(1, 5, kqmember.Alive))
	var told kqmember.Member
	table.OnNews(func(m kqmember.Member) { told = m })
	table.Merge(member(1, 5, kqmember.Dead))
	if told.Incarnation <= 5 || told.State != kqmember.Alive {
		t.Fatalf("told %+v", told)
	}
}

// A replaced server's old record is dropped a day after its death. Peers that
// heard of the death later still hold it; if their word brought it back, the
// tables would grow with every replacement for good.
func TestForgottenDeadStayForgotten(t *testing.T) {
	table := kqmember.NewTable(member(1, 1, kqmember.Alive))
	table.Merge(member(2, 1, kqmember.Dead))
	start := time.Unix(0, 0)
	table.Forget(start.Add(-time.Hour), start)
	table.Forget(start.Add(time.Hour), start.Add(2*time.Hour))
	table.Merge(member(2, 1, kqmember.Dead))
	if _, ok := table.Find("node-2"); ok {
		t.Fatal("the dead member is back")
	}
	table.Merge(member(2, 2, kqmember.Alive))
	if _, ok := table.Find("node-2"); !ok {
		t.Fatal("a server that came back is not taken in")
	}
}
