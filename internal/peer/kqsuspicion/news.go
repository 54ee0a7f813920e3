package kqsuspicion

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	topic kqbroadcast.Topic = "suspicion"

	methodFetch = "q.a"

	// batchDelay is how long news after the first waits for more. An upstream that ends has
	// several calls at work, whose connections break within it.
	batchDelay = time.Millisecond
	// maxBatch bounds the news in one message.
	maxBatch = 64

	// learnPeers is how many peers a starting node asks, learnPause the pause between two
	// rounds of questions, and learnTimeout how long it goes on asking.
	learnPeers   = 2
	learnPause   = 50 * time.Millisecond
	learnTimeout = 10 * time.Second
	fetchTimeout = time.Second
	// comparePause is the mean pause between two questions to a random peer.
	comparePause = 5 * time.Second
)

type (
	// news is what a node tells all others. Times are ages, since clocks differ.
	news struct {
		Ends    []end       `cbor:"1,keyasint,omitempty"`
		Cleared []clearance `cbor:"2,keyasint,omitempty"`
	}

	// end is the end of an upstream under a request.
	end struct {
		Request   kqfingerprint.Fingerprint `cbor:"1,keyasint"`
		Origin    kqquarantine.Origin       `cbor:"2,keyasint"`
		Upstream  kqquarantine.Start        `cbor:"3,keyasint"`
		Certainty kqquarantine.Certainty    `cbor:"4,keyasint"`
		SentAgo   time.Duration             `cbor:"5,keyasint"`
		KnownAgo  time.Duration             `cbor:"6,keyasint,omitempty"`
	}

	// clearance is the answer to a request, or an operator's word.
	clearance struct {
		Request    kqfingerprint.Fingerprint `cbor:"1,keyasint"`
		SentAgo    time.Duration             `cbor:"2,keyasint,omitempty"`
		ByOperator bool                      `cbor:"3,keyasint,omitempty"`
	}

	// suspectList answers a fetch.
	suspectList struct {
		Ends    []end       `cbor:"1,keyasint,omitempty"`
		Cleared []clearance `cbor:"2,keyasint,omitempty"`
	}

	empty struct{}
)

func endNews(r kqfingerprint.Fingerprint, from kqquarantine.Origin, e kqquarantine.End, now time.Time) news {
	return news{Ends: []end{{
		Request: r, Origin: from, Upstream: e.Upstream, Certainty: e.Certainty,
		SentAgo: now.Sub(e.Sent), KnownAgo: now.Sub(e.Known),
	}}}
}

// announce queues news for all nodes and reports whether it did. If told is not nil, it is put
// in flight with them.
func (q *Suspicions) announce(n news, told *announcement) bool {
	if tellsNobody {
		return false
	}
	q.mu.Lock()
	if !q.limiter.Allow() {
		q.mu.Unlock()
		q.observer.NewsDropped()
		return false
	}
	q.pending.Ends, q.pending.Cleared = append(q.pending.Ends, n.Ends...), append(q.pending.Cleared, n.Cleared...)
	for range n.Ends {
		q.pendingTold = append(q.pendingTold, told)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// Run tells all nodes what this one sees, until ctx ends.
func (q *Suspicions) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for n, told := q.nextBatch(); len(n.Ends)+len(n.Cleared) > 0; n, told = q.nextBatch() {
			if payload, err := cbor.Marshal(n); err == nil {
				q.setConfirmed(told, q.broadcaster.PublishUrgent(ctx, topic, payload))
			}
		}
		kqsleep.For(ctx, batchDelay)
	}
}

// nextBatch removes and returns the next news, and the announcements of their ends.
func (q *Suspicions) nextBatch() (news, []*announcement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ends, cleared := min(len(q.pending.Ends), maxBatch), min(len(q.pending.Cleared), maxBatch)
	n := news{Ends: q.pending.Ends[:ends:ends], Cleared: q.pending.Cleared[:cleared:cleared]}
	told := q.pendingTold[:ends:ends]
	q.pending.Ends, q.pending.Cleared, q.pendingTold = q.pending.Ends[ends:], q.pending.Cleared[cleared:], q.pendingTold[ends:]
	return n, told
}

// receive handles news of any node, this one included.
func (q *Suspicions) receive(_ kqname.Node, payload []byte) {
	var n news
	if cbor.Unmarshal(payload, &n) != nil {
		return
	}
	now := time.Now()
	for _, e := range n.Ends {
		q.merge(e, now)
	}
	for _, c := range n.Cleared {
		q.mergeClearance(c, now)
	}
}

// mergeClearance applies a clearance that a peer has told.
func (q *Suspicions) mergeClearance(c clearance, now time.Time) {
	why := "answered elsewhere"
	if c.ByOperator {
		why = "operator"
	}
	if blamesAll && !c.ByOperator || c.Request.IsZero() {
		return
	}
	q.clearBefore(c.Request, now.Add(-max(c.SentAgo, 0)), why, now)
}

// merge records an end that a peer has told.
func (q *Suspicions) merge(e end, now time.Time) {
	if e.Request.IsZero() || e.Certainty > kqquarantine.Confirmed || e.Certainty == kqquarantine.Possible || e.KnownAgo >= q.duration {
		return
	}
	known := now.Add(-max(e.KnownAgo, 0))
	q.record(e.Request, e.Origin, kqquarantine.End{
		Upstream: e.Upstream, Certainty: e.Certainty, Sent: now.Add(-max(e.SentAgo, 0)), Known: known,
	}, false)
}

// export returns all ends and clearances for a peer.
func (q *Suspicions) export(now time.Time) suspectList {
	var list suspectList
	for _, s := range q.Suspects(now) {
		for _, e := range s.Ends {
			list.Ends = append(list.Ends, endNews(s.Request, s.Origin, e, now).Ends...)
		}
	}
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for r, at := range s.quarantine.Cleared() {
			list.Cleared = append(list.Cleared, clearance{Request: r, SentAgo: now.Sub(at)})
		}
		s.mu.Unlock()
	}
	return list
}

// Learned reports whether a starting node has asked enough peers.
func (q *Suspicions) Learned() bool { return q.learned.Load() }

// Learn asks the store and peers for what they know, until learnPeers have answered.
func (q *Suspicions) Learn(ctx context.Context) {
	defer q.learned.Store(true)
	q.readStore(ctx)
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	asked := make(map[kqname.Node]bool)
	for answered := 0; answered < learnPeers && ctx.Err() == nil; kqsleep.For(ctx, learnPause) {
		members := q.table.Members()
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, m := range members {
			if m.Node == q.table.Self().Node || m.State != kqmember.Alive || asked[m.Node] || answered >= learnPeers {
				continue
			}
			if q.fetch(ctx, m.Control) {
				asked[m.Node] = true
				answered++
			}
		}
	}
}

// fetch records what a peer knows, and reports whether it answered.
func (q *Suspicions) fetch(ctx context.Context, from kqname.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	list, err := kqrpc.Call[empty, suspectList](ctx, q.client, from, methodFetch, empty{})
	if err != nil {
		return false
	}
	now := time.Now()
	for _, c := range list.Cleared {
		q.mergeClearance(c, now)
	}
	for _, e := range list.Ends {
		q.merge(e, now)
	}
	return true
}

// Compare asks a random peer for what it knows, again and again until ctx ends, in case that news
// did not reach this node.
func (q *Suspicions) Compare(ctx context.Context) {
	for ctx.Err() == nil {
		kqsleep.For(ctx, comparePause/2+rand.N(comparePause))
		var peers []kqname.Address
		for _, m := range q.table.Members() {
			if m.Node != q.table.Self().Node && m.State == kqmember.Alive {
				peers = append(peers, m.Control)
			}
		}
		if len(peers) > 0 {
			q.fetch(ctx, peers[rand.IntN(len(peers))])
		}
	}
}
