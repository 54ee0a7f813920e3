package kqexchange

import (
	"context"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodBeat    = "m.b"
	methodCompare = "m.c"
)

type (
	// beat is a heartbeat: who is there, in which state, and with what.
	beat struct {
		Incarnation uint64               `cbor:"1,keyasint"`
		Records     uint64               `cbor:"2,keyasint"`
		Newest      kqname.ConfigVersion `cbor:"3,keyasint"`
		Config      kqname.ConfigVersion `cbor:"4,keyasint"`
	}

	beatAnswer struct {
		beat
		Node    kqname.Node `cbor:"5,keyasint"`
		Configs uint64      `cbor:"6,keyasint"`
		// Unknown tells the sender that its record here is missing, old or bad.
		Unknown bool `cbor:"7,keyasint,omitempty"`
	}

	// comparison asks for the records of the buckets whose hashes differ.
	comparison struct {
		Records []uint64         `cbor:"1,keyasint"`
		Configs kqmember.Configs `cbor:"2,keyasint"`
	}

	comparisonAnswer struct {
		Buckets []int             `cbor:"1,keyasint"`
		Members []kqmember.Member `cbor:"2,keyasint"`
		Configs kqmember.Configs  `cbor:"3,keyasint"`
		// Busy is how long to stay away, in milliseconds; nothing else is set.
		Busy int64 `cbor:"4,keyasint,omitempty"`
	}
)

// start sends a heartbeat beside whatever else is under way; a peer that hangs
// holds up nobody, and gets one heartbeat at a time.
func (e *Exchanger) start(ctx context.Context, to kqname.Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if to == "" || e.busy[to] || ctx.Err() != nil {
		return
	}
	e.busy[to] = true
	e.group.Go(func() {
		defer func() {
			e.mu.Lock()
			delete(e.busy, to)
			e.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		kqkeeper.From(ctx).Try("heartbeat", func() { e.beat(ctx, to) })
	})
}

func (e *Exchanger) beat(ctx context.Context, to kqname.Address) {
	summary := e.table.Summary()
	a, err := kqpeer.Call[beat, beatAnswer](ctx, e.client, to, methodBeat, e.own(summary))
	if err != nil || a.Node == e.table.Self().Node {
		return
	}
	e.heard(a.Node, a.beat, to)
	e.versions.Answered(a.Node, a.Newest)
	_, known := e.table.Find(a.Node)
	if a.Unknown || !known {
		e.compare(ctx, to)
		return
	}
	if (a.Records != summary.Hash() || a.Configs != summary.Configs) && e.mayCompare(time.Now()) {
		e.compare(ctx, to)
	}
}

func (e *Exchanger) own(s kqmember.Summary) beat {
	self := e.table.Self()
	return beat{Incarnation: self.Incarnation, Records: s.Hash(), Newest: e.versions.Newest(), Config: self.Config}
}

func (e *Exchanger) answerBeat(_ context.Context, from kqname.Node, q beat) (beatAnswer, error) {
	m, ok := e.table.Find(from)
	if ok {
		e.heard(from, q, m.Control)
	}
	summary := e.table.Summary()
	return beatAnswer{
		beat: e.own(summary), Node: e.table.Self().Node, Configs: summary.Configs,
		Unknown: !ok || m.Incarnation != q.Incarnation || m.State == kqmember.Suspect || m.State == kqmember.Dead,
	}, nil
}

func (e *Exchanger) heard(n kqname.Node, b beat, at kqname.Address) {
	e.mu.Lock()
	e.detector.Heard(n, time.Now())
	e.mu.Unlock()
	e.table.SetConfig(n, b.Config)
	e.versions.Heard(b.Newest, at)
}

// mayCompare lets one comparison through in a while: right after news, tables
// differ everywhere, and the flood is about to mend that by itself.
func (e *Exchanger) mayCompare(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.reconciled) < reconcileBeats*e.every || e.budget.Allow(now) > 0 {
		return false
	}
	e.reconciled = now
	return true
}

// compare brings this table and a peer's up to the newer of both. What is
// learnt so is no news to flood: others compare too.
func (e *Exchanger) compare(ctx context.Context, to kqname.Address) {
	own := e.table.Summary()
	a, err := kqpeer.Call[comparison, comparisonAnswer](ctx, e.client, to, methodCompare, comparison{Records: own.Records[:], Configs: e.table.Configs()})
	if err != nil || a.Busy > 0 {
		return
	}
	alone := len(e.table.Members()) == 1
	theirs := make(map[kqname.Node]kqmember.Member, len(a.Members))
	for _, m := range a.Members {
		theirs[m.Node] = m
		e.table.Merge(m)
	}
	e.table.MergeConfigs(a.Configs)
	if alone && len(theirs) > 1 {
		select {
		case e.kick <- struct{}{}:
		default:
		}
	}
	differs := make(map[int]bool)
	for _, b := range a.Buckets {
		differs[b] = true
	}
	var newer []kqmember.Member
	for _, m := range e.table.Bucket(func(b int) bool { return differs[b] }) {
		if t, ok := theirs[m.Node]; !ok || m.Incarnation > t.Incarnation || m.Incarnation == t.Incarnation && m.State > t.State {
			newer = append(newer, m)
		}
	}
	if len(newer) > 0 {
		// What is lost here is found by the next comparison.
		_, _ = kqpeer.Call[news, nothing](ctx, e.client, to, methodNews, news{Members: newer, Quiet: true})
	}
}

func (e *Exchanger) answerCompare(_ context.Context, _ kqname.Node, q comparison) (comparisonAnswer, error) {
	if wait := e.budget.Allow(time.Now()); wait > 0 {
		return comparisonAnswer{Busy: wait.Milliseconds() + 1}, nil
	}
	e.table.MergeConfigs(q.Configs)
	own := e.table.Summary()
	var a comparisonAnswer
	differs := make(map[int]bool)
	for i, h := range own.Records {
		if i >= len(q.Records) || q.Records[i] != h {
			a.Buckets = append(a.Buckets, i)
			differs[i] = true
		}
	}
	a.Members = e.table.Bucket(func(b int) bool { return differs[b] })
	a.Configs = e.table.Configs()
	return a, nil
}
