package kqsuspicion

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	shardCount = 16
	// maxWait bounds how long a call waits for another one of the same request, and waitPoll
	// is how often it looks.
	maxWait  = time.Second
	waitPoll = 5 * time.Millisecond
	// newsPerSecond and newsBurst bound the news that a node floods. The burst is what a
	// node may have in flight when a failure domain is lost.
	newsPerSecond = 100
	newsBurst     = 500
)

type (
	// Broadcaster floods messages to all nodes. confirmed is closed once all that can be reached have
	// the message.
	Broadcaster interface {
		PublishUrgent(ctx context.Context, t kqbroadcast.Topic, payload []byte) (confirmed <-chan struct{})
		Subscribe(t kqbroadcast.Topic, r kqbroadcast.Receiver)
	}

	// Observer is told what becomes of requests under which upstreams ended. Its methods must not
	// block.
	Observer interface {
		// Suspected records the first end that this node saw under a request.
		Suspected(s kqquarantine.Suspect, now time.Time)
		// Refused records that calls of a request are refused from now on.
		Refused(s kqquarantine.Suspect, now time.Time)
		// Cleared records that a request is not suspected any more, and why.
		Cleared(s kqquarantine.Suspect, why string, now time.Time)
		// NewsDropped counts an end that was not passed on, because there were too many.
		NewsDropped()
	}

	// Suspicions holds the requests under which upstreams ended. It is safe for concurrent use.
	Suspicions struct {
		broadcaster Broadcaster
		client      *kqrpc.Client
		table       *kqmember.Table
		observer    Observer
		store       Store
		initial     Initial
		duration    time.Duration
		learned     atomic.Bool
		// probe holds an element while the node's gate runs a probe.
		probe  chan struct{}
		shards [shardCount]shard

		mu      sync.Mutex
		pending news
		// pendingTold holds the announcement of each pending end.
		pendingTold []*announcement
		limiter     *rate.Limiter
		wake        chan struct{}
		// unstored holds what is yet to be written to the store of refused requests, without ends
		// for those that were cleared, and stored what this node has written.
		unstored map[kqfingerprint.Fingerprint]kqquarantine.Suspect
		stored   map[kqfingerprint.Fingerprint]bool
		// spreads holds what this node has told of requests lately, and spreading their number.
		spreads   map[kqfingerprint.Fingerprint]*spread
		spreading atomic.Int64
	}

	shard struct {
		mu         sync.Mutex
		quarantine *kqquarantine.Quarantine
		// refused holds the requests whose refusal has been reported.
		refused map[kqfingerprint.Fingerprint]bool
	}

	// Option configures a Suspicions.
	Option func(*Suspicions)
)

// WithStore keeps refused requests in the store, and reads those that initial holds at the start.
func WithStore(s Store, initial Initial) Option {
	return func(q *Suspicions) { q.store, q.initial = s, initial }
}

// New returns a Suspicions without requests, which registers its method on server. It keeps
// a request for the duration after it was last seen.
func New(server *kqrpc.Server, client *kqrpc.Client, broadcaster Broadcaster, table *kqmember.Table, observer Observer, duration time.Duration, options ...Option) *Suspicions {
	q := &Suspicions{
		broadcaster: broadcaster, client: client, table: table, observer: observer, duration: duration,
		limiter: rate.NewLimiter(newsPerSecond, newsBurst), probe: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		unstored: make(map[kqfingerprint.Fingerprint]kqquarantine.Suspect), stored: make(map[kqfingerprint.Fingerprint]bool),
		spreads: make(map[kqfingerprint.Fingerprint]*spread),
	}
	for i := range q.shards {
		q.shards[i].quarantine, q.shards[i].refused = kqquarantine.New(duration, q.fate), make(map[kqfingerprint.Fingerprint]bool)
	}
	for _, o := range options {
		o(q)
	}
	kqrpc.Handle(server, methodFetch, func(context.Context, kqname.Node, empty) (suspectList, error) {
		return q.export(time.Now()), nil
	})
	broadcaster.Subscribe(topic, q.receive)
	return q
}

// Admit returns whether the call may be sent. It waits while another call of the same request
// tells, or while news may be on their way, and then returns Wait if that takes too long or the
// call is cancelled. After Probe or ProbeElsewhere, the caller must call Finish.
func (q *Suspicions) Admit(c *kqcall.Call, side kqquarantine.Side) kqquarantine.Verdict {
	came := time.Now()
	s := q.shard(c.Fingerprint)
	for now, end := came, came.Add(maxWait); ; now = time.Now() {
		verdict := kqquarantine.Wait
		if side == kqquarantine.Incoming || now.Sub(came) >= maxAdmitSpread || !q.isSpreading(c.Fingerprint, now) {
			s.mu.Lock()
			verdict = s.quarantine.Decide(c.Fingerprint, side, came, now)
			s.mu.Unlock()
		}
		if verdict != kqquarantine.Wait || !now.Before(end) || !now.Before(c.Deadline) || c.Cancel.Done() {
			return verdict
		}
		time.Sleep(waitPoll)
	}
}

// IsRefused reports whether calls of the request are refused. It does not wait.
func (q *Suspicions) IsRefused(r kqfingerprint.Fingerprint, now time.Time) bool {
	s := q.shard(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.IsRefused(r, now)
}

// BeginProbe waits until the node's gate runs no probe, of whichever request: an upstream that ends
// under two of them would be held against both. It reports false if that takes too long or the
// call is cancelled. After true, the caller must call EndProbe.
func (q *Suspicions) BeginProbe(c *kqcall.Call) bool {
	timer := time.NewTimer(min(maxWait, time.Until(c.Deadline)))
	defer timer.Stop()
	select {
	case q.probe <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-c.Cancel.Signal():
		return false
	}
}

// EndProbe lets the next probe begin at the node's gate.
func (q *Suspicions) EndProbe() { <-q.probe }

// Finish ends a probe.
func (q *Suspicions) Finish(c *kqcall.Call, side kqquarantine.Side) {
	s := q.shard(c.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Finish(c.Fingerprint, side)
}

// RecordEnd records that an upstream ended under a request, or may have, and tells all nodes.
func (q *Suspicions) RecordEnd(r kqfingerprint.Fingerprint, from kqquarantine.Origin, e kqquarantine.End) {
	if forgetsEnds {
		return
	}
	if blamesAll {
		e.Certainty = kqquarantine.Confirmed
	}
	if q.record(r, from, e, true) {
		q.announceEnd(r, from, e, e.Known)
	}
}

// RecordAnswer records the whole answer to a call that was sent at the given time. If it clears the request,
// all nodes are told.
func (q *Suspicions) RecordAnswer(r kqfingerprint.Fingerprint, sent, now time.Time) {
	if blamesAll {
		return
	}
	s := q.shard(r)
	s.mu.Lock()
	before, cleared := s.quarantine.RecordAnswer(r, sent, now)
	s.mu.Unlock()
	if cleared {
		q.reportCleared(before, "answered", now)
		q.announce(news{Cleared: []clearance{{Request: r, SentAgo: now.Sub(sent)}}}, nil)
	}
}

// Clear clears a request of all ends at all nodes, and reports whether this node had suspected
// it.
func (q *Suspicions) Clear(r kqfingerprint.Fingerprint, now time.Time) bool {
	known := q.clearBefore(r, now, "operator", now)
	q.announce(news{Cleared: []clearance{{Request: r, ByOperator: true}}}, nil)
	return known
}

// Suspects returns the requests under which upstreams ended.
func (q *Suspicions) Suspects(now time.Time) []kqquarantine.Suspect {
	var list []kqquarantine.Suspect
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		list = append(list, s.quarantine.Suspects(now)...)
		s.mu.Unlock()
	}
	return list
}

// Sweep removes what has expired, and records the ends of upstreams that only their nodes' records
// show.
func (q *Suspicions) Sweep(now time.Time) {
	q.forgetSpreads(now)
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		ended, removed := s.quarantine.Sweep(now)
		s.mu.Unlock()
		for _, one := range ended {
			q.RecordEnd(one.Request, one.Origin, one.Ends[0])
		}
		for _, one := range removed {
			q.reportCleared(one, "expired or refuted", now)
		}
	}
}

// record records an end, and reports and stores what changes by it. It reports whether the end is news.
// First ends are reported by the nodes that saw them only.
func (q *Suspicions) record(r kqfingerprint.Fingerprint, from kqquarantine.Origin, e kqquarantine.End, seenHere bool) bool {
	s := q.shard(r)
	s.mu.Lock()
	isNews := s.quarantine.RecordEnd(r, from, e)
	after, known := s.quarantine.Find(r, e.Known)
	firstRefusal := known && after.Refused && !s.refused[r]
	if firstRefusal {
		s.refused[r] = true
	}
	s.mu.Unlock()
	if isNews && seenHere && len(after.Ends) == 1 {
		q.observer.Suspected(after, e.Known)
	}
	if firstRefusal {
		q.observer.Refused(after, e.Known)
		if seenHere {
			q.keep(after)
		}
	}
	return isNews
}

// clearBefore clears a request of the ends that were known before the given time, and reports whether
// it had some and none is left.
func (q *Suspicions) clearBefore(r kqfingerprint.Fingerprint, until time.Time, why string, now time.Time) bool {
	s := q.shard(r)
	s.mu.Lock()
	before, cleared := s.quarantine.ClearBefore(r, until, now)
	s.mu.Unlock()
	if cleared {
		q.reportCleared(before, why, now)
	}
	return cleared
}

func (q *Suspicions) reportCleared(before kqquarantine.Suspect, why string, now time.Time) {
	s := q.shard(before.Request)
	s.mu.Lock()
	delete(s.refused, before.Request)
	s.mu.Unlock()
	q.forget(before.Request)
	q.observer.Cleared(before, why, now)
}

// fate returns what this node knows of an upstream.
func (q *Suspicions) fate(s kqquarantine.Start) kqquarantine.Fate {
	m, ok := q.table.Find(s.Node)
	switch {
	case !ok, m.State == kqmember.Suspect, m.State == kqmember.Leaving:
		return kqquarantine.Unknown
	case m.State == kqmember.Dead, len(m.Upstreams) == 0:
		return kqquarantine.Lost
	}
	for _, u := range m.Upstreams {
		switch {
		case u.Start == s.ID && u.Draining:
			return kqquarantine.Left
		case u.Start == s.ID, s.ID == 0:
			return kqquarantine.Alive
		}
	}
	return kqquarantine.Ended
}

func (q *Suspicions) shard(r kqfingerprint.Fingerprint) *shard { return &q.shards[r[0]%shardCount] }
