package kqslots_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// sharedSlots is the number of slots of the upstream that workspaces share.
	sharedSlots = 18
	// seeds is the number of plays of each load.
	seeds = 15
	// floodFrom and floodUntil bound the time of the excess, in which requests are counted.
	floodFrom, floodUntil = 20 * time.Second, 26 * time.Second
)

// workspaceCount is the number of workspaces, a third of each class.
const workspaceCount = 87

// workspaceAt returns the name and class of a workspace. The first letter of the name is that of
// the class, the second tells whether it asks for one, two or three times as much as the least.
func workspaceAt(i int) (kqname.Workspace, kqdocument.Class) {
	class := []kqdocument.Class{"critical", "normal", "background"}[i%3]
	return kqname.Workspace(fmt.Sprint(class[:1], 1+i/3%3, "-", i)), class
}

// groupOf returns the first two letters of the workspace's name. The workspaces of a group send
// the same load, so that the mean over the group estimates the share of each.
func groupOf(name kqname.Route) string { return string(name[:2]) }

// workspaceStreams returns calls of a workspace on four routes of 110 to 580 ms that ask
// together for the given mean number of slots.
func workspaceStreams(name kqname.Workspace, class kqdocument.Class, slots float64) []stream {
	routes := []stream{
		{route: "status", class: "critical", work: 110 * time.Millisecond, target: 400 * time.Millisecond},
		{route: "browse", class: "normal", work: 180 * time.Millisecond, target: 600 * time.Millisecond},
		{route: "order", class: "normal", work: 350 * time.Millisecond, target: 1100 * time.Millisecond},
		{route: "report", class: "background", work: 580 * time.Millisecond, target: 1600 * time.Millisecond},
	}
	for i := range routes {
		s := &routes[i]
		s.workspace, s.workspaceClass, s.callers, s.sigma = name, class, 5, 0.3
		s.deadline = 2 * s.target
		s.rate = slots / float64(len(routes)) / s.work.Seconds()
	}
	return routes
}

// usualStreams returns the load of all workspaces, load times the capacity in sum. Larger
// workspaces ask for three times as many slots as smaller ones.
func usualStreams(load float64) []stream {
	var all []stream
	for i := range workspaceCount {
		name, class := workspaceAt(i)
		all = append(all, workspaceStreams(name, class, load*sharedSlots/workspaceCount/2*float64(1+i/3%3))...)
	}
	return all
}

// excess returns the streams of the chosen workspaces once more, factor times as many calls
// on top during the flood.
func excess(all []stream, factor float64, chosen func(kqname.Workspace, kqdocument.Class) bool) []stream {
	var more []stream
	for _, s := range all {
		if chosen(s.workspace, s.workspaceClass) {
			s.rate, s.from, s.until = s.rate*factor, floodFrom, floodUntil
			more = append(more, s)
		}
	}
	return more
}

// playShares returns the share of requests in time of each group and of the workspace apart, over
// the seeds. The workspace's key is its name.
func playShares(streams []stream, apart kqname.Workspace, seeds uint64) map[string]float64 {
	all := make(map[string]*results)
	for seed := range seeds {
		l := load{slots: sharedSlots, duration: floodUntil + time.Second, maxRetries: 2, streams: append([]stream(nil), streams...), countFrom: floodFrom, countUntil: floodUntil}
		for name, g := range simulate(l, seed) {
			key := groupOf(name)
			if name == kqname.Route(apart) {
				key = string(name)
			}
			if all[key] == nil {
				all[key] = &results{}
			}
			all[key].add(g)
		}
	}
	shares := make(map[string]float64)
	for key, g := range all {
		shares[key] = float64(g.inTime) / float64(max(g.requests, 1))
	}
	return shares
}

// worstLoss returns the group, of the given classes by first letter, that loses most, and its
// loss.
func worstLoss(before, after map[string]float64, classes string) (loss float64, worst string) {
	loss = math.Inf(-1)
	for key, share := range before {
		if len(key) == 2 && strings.Contains(classes, key[:1]) && share-after[key] > loss {
			loss, worst = share-after[key], key
		}
	}
	return loss, worst
}

// Guards against a workspace that takes other workspaces' share by sending seven times its
// usual load for six seconds.
func TestFloodOfOneWorkspaceLeavesOthersTheirShare(t *testing.T) {
	for _, load := range []float64{0.9, 1.1} {
		usual := usualStreams(load)
		before := playShares(usual, "", seeds)
		for _, i := range []int{0, 6, 4, 7, 8} {
			flooding, _ := workspaceAt(i)
			after := playShares(append(usual, excess(usual, 6, func(w kqname.Workspace, _ kqdocument.Class) bool { return w == flooding })...), flooding, seeds)
			loss, worst := worstLoss(before, after, "cnb")
			t.Run(fmt.Sprint(load, "/", flooding), func(t *testing.T) {
				t.Logf("load %.1f, %s floods: %.3f to %.3f; %s loses most, %.3f of %.3f", load, flooding, before[groupOf(kqname.Route(flooding))], after[string(flooding)], worst, loss, before[worst])
				if loss > 0.05 {
					t.Errorf("%s loses %.3f while %s sends seven times its usual load", worst, loss, flooding)
				}
			})
		}
	}
}

// Guards against less urgent workspaces that take the share of more urgent ones when their class
// sends 2.6 times its usual load, and against workspaces below their fair share that lose calls
// to others of their class.
func TestExcessOfAClassLeavesMoreUrgentOnesTheirShare(t *testing.T) {
	usual := usualStreams(0.9)
	before := playShares(usual, "", seeds)
	for class, moreUrgent := range map[kqdocument.Class]string{"normal": "c", "background": "cn"} {
		after := playShares(append(usual, excess(usual, 1.6, func(_ kqname.Workspace, c kqdocument.Class) bool { return c == class })...), "", seeds)
		loss, worst := worstLoss(before, after, moreUrgent)
		t.Logf("%s at 2.6 times: %v to %v", class, before, after)
		if loss > 0.05 {
			t.Errorf("%s loses %.3f while class %s sends 2.6 times its usual load", worst, loss, class)
		}
	}
}

// Guards against a workspace that asks for less than its fair share of an overloaded upstream
// and does not get it. All workspaces are of one class and ask together for 1.5 times the
// capacity; those of the first size ask for 0.75 of their fair share.
func TestWorkspaceBelowItsFairShareGetsWhatItAsksFor(t *testing.T) {
	streams := usualStreams(1.5)
	for i := range streams {
		streams[i].workspaceClass = "normal"
	}
	shares := playShares(streams, "", seeds)
	t.Logf("%v", shares)
	for key, share := range shares {
		if key[1] == '1' && share < 0.9 {
			t.Errorf("%s gets %.3f of what it asks for in time, want 0.9", key, share)
		}
	}
}

// Guards against a workspace that gains by more connections or by ignoring Retry-After.
func TestConnectionsAndQuickRetriesGainNothing(t *testing.T) {
	usual := usualStreams(1.5)
	greedy, _ := workspaceAt(8)
	before := playShares(usual, greedy, 2*seeds)
	for _, way := range []struct {
		name                string
		connections, factor int
		delay               time.Duration
	}{{"connections", 200, 2, 0}, {"retries", 5, 30, 10 * time.Millisecond}} {
		streams := usualStreams(1.5)
		for i := range streams {
			if s := &streams[i]; s.workspace == greedy {
				s.callers, s.retries, s.retryDelay = way.connections, way.factor, way.delay
			}
		}
		after := playShares(streams, greedy, 2*seeds)
		loss, worst := worstLoss(before, after, "cnb")
		t.Logf("%s: %.3f to %.3f; %s loses most, %.3f of %.3f", way.name, before[string(greedy)], after[string(greedy)], worst, loss, before[worst])
		if gain := after[string(greedy)] - before[string(greedy)]; gain > 0.05 || loss > 0.05 {
			t.Errorf("%s gain a workspace %.3f, and %s loses %.3f", way.name, gain, worst, loss)
		}
	}
}
