package kqquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	began  = time.Unix(1000, 0)
	origin = kqquarantine.Origin{Service: "store", Route: "r"}
)

func unknownFate(kqquarantine.Start) kqquarantine.Fate { return kqquarantine.Unknown }

// request returns the n-th of many requests.
func request(n int) kqfingerprint.Fingerprint {
	var f kqfingerprint.Fingerprint
	f[0], f[1], f[2], f[3] = 1, byte(n), byte(n>>8), byte(n>>16)
	return f
}

func end(node int, c kqquarantine.Certainty, sent, known time.Time) kqquarantine.End {
	return kqquarantine.End{
		Upstream: kqquarantine.Start{Node: kqname.Node(fmt.Sprint("n", node)), ID: uint64(node + 1)}, Certainty: c, Sent: sent, Known: known,
	}
}

// decide decides on a call that has waited for news.
func decide(q *kqquarantine.Quarantine, r kqfingerprint.Fingerprint, side kqquarantine.Side, now time.Time) kqquarantine.Verdict {
	return q.Decide(r, side, now.Add(-time.Second), now)
}

func Example() {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	for node := range 3 {
		fmt.Println(decide(q, r, kqquarantine.Outgoing, now) == kqquarantine.Refuse)
		q.RecordEnd(r, origin, end(node, kqquarantine.Confirmed, now, now))
		q.Finish(r, kqquarantine.Outgoing)
		now = now.Add(time.Second)
	}
	fmt.Println(decide(q, r, kqquarantine.Outgoing, now) == kqquarantine.Refuse)
	// Output:
	// false
	// false
	// false
	// true
}

// Guards against any interleaving of repeats, ends, news of other nodes and late answers by which a
// request that ends each upstream gets to more than it may.
func TestNoInterleavingSendsARequestOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
		type sending struct {
			at    time.Time
			probe bool
		}
		var flying []sending
		ended, sentAfterThree := 0, 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "send") {
				switch decide(q, r, kqquarantine.Outgoing, now) {
				case kqquarantine.Allow, kqquarantine.Caution:
					flying = append(flying, sending{at: now})
				case kqquarantine.Probe, kqquarantine.ProbeElsewhere:
					flying = append(flying, sending{now, true})
				default:
					continue
				}
				if ended >= kqquarantine.MaxEnds {
					sentAfterThree++
				}
				continue
			}
			if len(flying) == 0 {
				continue
			}
			s := flying[0]
			flying = flying[1:]
			ended++
			q.RecordEnd(r, origin, end(ended, kqquarantine.Confirmed, s.at, now))
			if s.probe {
				q.Finish(r, kqquarantine.Outgoing)
			}
		}
		if sentAfterThree > 0 {
			t.Fatalf("sent %d times after %d upstreams had ended", sentAfterThree, kqquarantine.MaxEnds)
		}
	})
}

// Ten callers make a request at the same moment after one upstream has ended under it.
func TestOneOfManyCallersTriesASuspect(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	q.RecordEnd(r, origin, end(0, kqquarantine.Confirmed, now, now))
	sent := 0
	now = now.Add(kqquarantine.SpreadTime)
	for node := 1; node < 10; node++ {
		for range 10 {
			if v := decide(q, r, kqquarantine.Outgoing, now); v < kqquarantine.Wait {
				sent++
			}
		}
		now = now.Add(10 * time.Millisecond)
		q.RecordEnd(r, origin, end(node, kqquarantine.Confirmed, now, now))
		q.Finish(r, kqquarantine.Outgoing)
		now = now.Add(kqquarantine.SpreadTime)
	}
	if sent != kqquarantine.MaxEnds-1 {
		t.Errorf("sent %d times after the first end, want %d", sent, kqquarantine.MaxEnds-1)
	}
}

// Guards against refusing a popular request whose upstreams are lost with a failure domain.
func TestPopularRequestSurvivesALostDomain(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	q.RecordAnswer(r, now, now.Add(10*time.Millisecond))
	lost := now.Add(time.Second)
	for node := range 5 {
		q.RecordEnd(r, origin, end(node, kqquarantine.Unconfirmed, lost.Add(-20*time.Millisecond), lost.Add(time.Duration(node)*time.Millisecond)))
	}
	sent := lost.Add(50 * time.Millisecond)
	if v := decide(q, r, kqquarantine.Outgoing, sent); v != kqquarantine.Caution {
		t.Fatalf("verdict %v after a domain was lost, want Caution", v)
	}
	q.RecordAnswer(r, sent, sent.Add(10*time.Millisecond))
	if list := q.Suspects(sent.Add(time.Second)); len(list) > 0 {
		t.Errorf("still suspected after an answer: %+v", list)
	}
}

// A popular request ends its upstreams from some moment on: those that end under calls sent after the
// first end was known count one by one.
func TestPopularRequestThatTurnsDeadly(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	q.RecordAnswer(r, now, now)
	for node := range 3 {
		now = now.Add(200 * time.Millisecond)
		if v := decide(q, r, kqquarantine.Outgoing, now); v == kqquarantine.Refuse {
			t.Fatalf("refused after %d ends", node)
		}
		q.RecordEnd(r, origin, end(node, kqquarantine.Confirmed, now, now.Add(time.Millisecond)))
		q.Finish(r, kqquarantine.Outgoing)
	}
	if v := decide(q, r, kqquarantine.Outgoing, now.Add(time.Second)); v != kqquarantine.Refuse {
		t.Errorf("verdict %v after three ends, want Refuse", v)
	}
}

// An answer to a call that was sent before an end says nothing of the calls sent after it.
func TestLateAnswerClearsNothing(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	for node := range 3 {
		q.RecordEnd(r, origin, end(node, kqquarantine.Confirmed, now, now))
	}
	if _, cleared := q.RecordAnswer(r, now.Add(-time.Millisecond), now.Add(time.Second)); cleared || decide(q, r, kqquarantine.Outgoing, now.Add(time.Second)) != kqquarantine.Refuse {
		t.Error("cleared by the answer to a call that was sent before")
	}
	if _, cleared := q.RecordAnswer(r, now.Add(time.Millisecond), now.Add(time.Second)); !cleared {
		t.Error("not cleared by the answer to a call that was sent afterwards")
	}
}

// A node that is cut off, paused or restarted beside a sound upstream looks like a lost server at first.
func TestUnconfirmedEndsAreRefuted(t *testing.T) {
	fate := kqquarantine.Unknown
	q, r, now := kqquarantine.New(time.Minute, func(kqquarantine.Start) kqquarantine.Fate { return fate }), request(1), began
	for node := range 3 {
		q.RecordEnd(r, origin, end(node, kqquarantine.Unconfirmed, now, now))
	}
	if v := decide(q, r, kqquarantine.Outgoing, now); v != kqquarantine.Refuse {
		t.Fatalf("verdict %v while three upstreams may have ended, want Refuse", v)
	}
	fate = kqquarantine.Alive
	if v := decide(q, r, kqquarantine.Outgoing, now.Add(10*time.Second)); v != kqquarantine.Allow {
		t.Errorf("verdict %v once their nodes list them, want Allow", v)
	}
	fate = kqquarantine.Ended
	for node := range 3 {
		q.RecordEnd(r, origin, end(node, kqquarantine.Unconfirmed, now, now))
	}
	if v := decide(q, r, kqquarantine.Outgoing, now.Add(20*time.Second)); v != kqquarantine.Refuse {
		t.Errorf("verdict %v once other upstreams stand in their place, want Refuse", v)
	}
}

// An upstream hangs under a call, and ends after the call's deadline has passed.
func TestUpstreamThatHangsBeforeItEnds(t *testing.T) {
	fate := kqquarantine.Alive
	q, r, now := kqquarantine.New(time.Minute, func(kqquarantine.Start) kqquarantine.Fate { return fate }), request(1), began
	q.RecordEnd(r, origin, end(1, kqquarantine.Possible, now, now))
	if ended, _ := q.Sweep(now.Add(time.Second)); len(ended) > 0 || len(q.Suspects(now)) > 0 {
		t.Fatal("suspected while its upstream is alive")
	}
	fate = kqquarantine.Ended
	ended, _ := q.Sweep(now.Add(2 * time.Second))
	if len(ended) != 1 || ended[0].Request != r || ended[0].Ends[0].Certainty != kqquarantine.Confirmed {
		t.Errorf("a sweep after the end returned %+v, want the request with a confirmed end", ended)
	}
}

// Guards against requests of one route that displace the suspects of another, and against unbounded memory.
func TestRoutesDoNotDisplaceEachOther(t *testing.T) {
	q, now := kqquarantine.New(time.Minute, unknownFate), began
	other := kqquarantine.Origin{Service: "store", Route: "other"}
	victim := request(0)
	for node := range 3 {
		q.RecordEnd(victim, other, end(node, kqquarantine.Confirmed, now, now))
	}
	for n := 1; n < 5000; n++ {
		q.RecordEnd(request(n), origin, end(n, kqquarantine.Confirmed, now, now))
	}
	if v := decide(q, victim, kqquarantine.Outgoing, now); v != kqquarantine.Refuse {
		t.Errorf("verdict %v on the other route's request after 5,000 of this one, want Refuse", v)
	}
	if got := len(q.Suspects(now)); got > 512 {
		t.Errorf("%d suspects are kept", got)
	}
}

// Guards against an innocent request that is refused for ever, and against one that is let through by the dozen
// once its time is over.
func TestRefusedRequestIsTriedOnceAfterItsTime(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	for node := range 3 {
		q.RecordEnd(r, origin, end(node, kqquarantine.Confirmed, now, now))
	}
	for range 5 {
		now = now.Add(10 * time.Second)
		if _, removed := q.Sweep(now); len(removed) > 0 || decide(q, r, kqquarantine.Outgoing, now) != kqquarantine.Refuse {
			t.Fatal("not refused within its time")
		}
	}
	now = now.Add(11 * time.Second)
	q.Sweep(now)
	now = now.Add(kqquarantine.SpreadTime)
	if first, second := decide(q, r, kqquarantine.Outgoing, now), decide(q, r, kqquarantine.Outgoing, now); first != kqquarantine.Probe || second != kqquarantine.Wait {
		t.Fatalf("verdicts %v and %v after its time, want Probe and Wait", first, second)
	}
	if q.RecordEnd(r, origin, end(0, kqquarantine.Confirmed, began, began)) {
		t.Error("an end that was forgotten counts again when a peer tells it")
	}
	q.RecordEnd(r, origin, end(7, kqquarantine.Confirmed, now, now))
	q.Finish(r, kqquarantine.Outgoing)
	if v := decide(q, r, kqquarantine.Outgoing, now.Add(50*time.Second)); v != kqquarantine.Refuse {
		t.Errorf("verdict %v after one more end, want Refuse", v)
	}
}

// Guards against peers that have not heard of a clearance and bring the ends back.
func TestClearedEndsDoNotComeBack(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	var ends []kqquarantine.End
	for node := range 3 {
		ends = append(ends, end(node, kqquarantine.Confirmed, now, now))
		q.RecordEnd(r, origin, ends[node])
	}
	if _, cleared := q.ClearBefore(r, now.Add(10*time.Second), now.Add(10*time.Second)); !cleared {
		t.Fatal("not cleared")
	}
	for _, e := range ends {
		e.Known = e.Known.Add(50 * time.Millisecond)
		if q.RecordEnd(r, origin, e) {
			t.Error("an end that a peer told again counts as news")
		}
	}
	if len(q.Suspects(now.Add(11*time.Second))) > 0 {
		t.Error("suspected again by ends before the clearance")
	}
	if !q.RecordEnd(r, origin, end(9, kqquarantine.Confirmed, now.Add(12*time.Second), now.Add(12*time.Second))) {
		t.Error("an end after the clearance is ignored")
	}
}

// Two nodes that probe a request at each other's upstreams must not wait for each other.
func TestProbesOfTwoNodesDoNotBlockEachOther(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	q.RecordEnd(r, origin, end(1, kqquarantine.Confirmed, now, now))
	now = now.Add(kqquarantine.SpreadTime)
	if out, in := decide(q, r, kqquarantine.Outgoing, now), decide(q, r, kqquarantine.Incoming, now); out != kqquarantine.Probe || in != kqquarantine.Probe {
		t.Errorf("verdicts %v and %v on both sides, want Probe", out, in)
	}
}

// A caller repeats a request elsewhere right after its last end, of which that node has not heard yet.
func TestCallWaitsForNewsOfAnEndJustBeforeIt(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	for node := range 2 {
		q.RecordEnd(r, origin, end(node, kqquarantine.Confirmed, now, now))
	}
	came := now.Add(time.Second)
	if v := q.Decide(r, kqquarantine.Outgoing, came, came); v != kqquarantine.Wait {
		t.Errorf("verdict %v as the call comes, want Wait", v)
	}
	if v := q.Decide(r, kqquarantine.Outgoing, came, came.Add(kqquarantine.SpreadTime)); v != kqquarantine.Probe {
		t.Errorf("verdict %v after the news had time, want Probe", v)
	}
}

// Guards against an end that counts twice, since a paused node tells or hears of it late.
func TestEndThatIsToldLateCountsOnce(t *testing.T) {
	q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
	for _, delay := range []time.Duration{0, 3 * time.Second, 5 * time.Second, 6 * time.Second} {
		e := end(1, kqquarantine.Confirmed, now.Add(delay), now.Add(delay+20*time.Millisecond))
		if isNews := q.RecordEnd(r, origin, e); isNews != (delay == 0) {
			t.Errorf("an end that is told %v late is news: %v", delay, isNews)
		}
	}
	if v := decide(q, r, kqquarantine.Outgoing, now.Add(10*time.Second)); v != kqquarantine.Probe {
		t.Errorf("verdict %v after one end, want Probe", v)
	}
}

// Guards against a call that was sent to an upstream which had ended, and counts as its second end.
func TestCallToAnUpstreamThatHadEndedCountsNoEnd(t *testing.T) {
	fate, now := kqquarantine.Lost, began
	q, r := kqquarantine.New(time.Minute, func(kqquarantine.Start) kqquarantine.Fate { return fate }), request(1)
	q.RecordEnd(r, origin, end(1, kqquarantine.Confirmed, now, now))
	now = now.Add(2 * time.Second)
	q.RecordEnd(r, origin, end(1, kqquarantine.Possible, now, now.Add(time.Second)))
	now = now.Add(time.Second)
	for _, f := range []kqquarantine.Fate{kqquarantine.Lost, kqquarantine.Ended} {
		fate = f
		ended, _ := q.Sweep(now)
		for _, one := range ended {
			q.RecordEnd(one.Request, one.Origin, one.Ends[0])
		}
	}
	if one, _ := q.Find(r, now); len(one.Ends) != 1 {
		t.Errorf("%d ends of one upstream: %+v", len(one.Ends), one.Ends)
	}
}

// A suspect that is probed at a server that hangs is tried at one more while few enough have ended.
func TestHungProbeDoesNotStopARequest(t *testing.T) {
	for ends, want := range map[int]kqquarantine.Verdict{1: kqquarantine.ProbeElsewhere, 2: kqquarantine.Wait} {
		q, r, now := kqquarantine.New(time.Minute, unknownFate), request(1), began
		for node := range ends {
			q.RecordEnd(r, origin, end(node, kqquarantine.Confirmed, now, now))
		}
		now = now.Add(time.Second)
		if v := decide(q, r, kqquarantine.Outgoing, now); v != kqquarantine.Probe {
			t.Fatalf("verdict %v after %d ends, want Probe", v, ends)
		}
		if v := decide(q, r, kqquarantine.Outgoing, now.Add(400*time.Millisecond)); v != kqquarantine.Wait {
			t.Errorf("verdict %v beside a young probe, want Wait", v)
		}
		now = now.Add(600 * time.Millisecond)
		if v := decide(q, r, kqquarantine.Outgoing, now); v != want {
			t.Errorf("verdict %v beside a hung probe after %d ends, want %v", v, ends, want)
		}
		if v := decide(q, r, kqquarantine.Outgoing, now.Add(time.Second)); v != kqquarantine.Wait {
			t.Errorf("verdict %v beside all the probes there may be, want Wait", v)
		}
	}
}
