package kqfreshness

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqcatchup"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// methodNewest asks a peer for its newest version.
	methodNewest = "c.n"
	// component names the inquiries in reports of panics.
	component = "freshness"
	// pollPeriod is how often the version in force is compared with the newest one.
	pollPeriod = 5 * time.Millisecond
	// maxPeers is how many peers are asked at once.
	maxPeers = 2
)

type (
	// Versions knows the newest version whose root the node holds, and fetches newer ones.
	Versions interface {
		Newest() kqname.ConfigVersion
		// VersionSeen records that the peer at the address holds a version.
		VersionSeen(v kqname.ConfigVersion, from kqname.Address)
	}

	// Fleet lists the peers that may be asked.
	Fleet interface {
		// Watchers returns the members that watch the store for new versions.
		Watchers() []kqmember.Member
		Members() []kqmember.Member
		// IsAlone reports whether the node has never had a peer and its store answers, so that
		// nobody knows a newer version.
		IsAlone() bool
	}

	// Counter counts inquiries.
	Counter interface {
		PeersAsked()
	}

	// Freshness implements kqentry.Freshness. It is safe for concurrent use.
	Freshness struct {
		client     *kqrpc.Client
		self       kqname.Node
		fleet      Fleet
		versions   Versions
		inForce    func() kqname.ConfigVersion
		counter    Counter
		supervisor *kqsupervisor.Supervisor

		mu      sync.Mutex
		waiting int
		// next is the inquiry that has not started yet, or nil.
		next      *inquiry
		lastStart time.Time
	}

	// inquiry is one question to peers. Calls that arrive before it starts share it.
	inquiry struct {
		// concluded is closed once the answers show whether the version in force is the newest.
		concluded chan struct{}

		mu    sync.Mutex
		state *kqcatchup.Inquiry
	}

	question struct{}

	answer struct {
		Newest kqname.ConfigVersion `cbor:"1,keyasint"`
	}
)

// New returns a Freshness that answers peers on server and asks them through client. inForce
// returns the version by which the node serves calls.
func New(server *kqrpc.Server, client *kqrpc.Client, self kqname.Node, fleet Fleet, versions Versions, inForce func() kqname.ConfigVersion, counter Counter, supervisor *kqsupervisor.Supervisor) *Freshness {
	kqrpc.Handle(server, methodNewest, func(context.Context, kqname.Node, question) (answer, error) {
		return answer{Newest: max(versions.Newest(), inForce())}, nil
	})
	return &Freshness{client: client, self: self, fleet: fleet, versions: versions, inForce: inForce, counter: counter, supervisor: supervisor}
}

// Confirm implements kqentry.Freshness.
func (f *Freshness) Confirm(c *kqcall.Call) bool {
	if f.fleet.IsAlone() {
		return true
	}
	now := time.Now()
	i := f.join(now)
	if i == nil {
		return false
	}
	defer f.leave()
	timer := time.NewTimer(kqcatchup.Wait(now, c.Deadline))
	defer timer.Stop()
	select {
	case <-i.concluded:
	case <-timer.C:
	}
	return i.conclude(f.inForce(), true) == kqcatchup.Newest
}

// join returns the next inquiry, which it schedules if there is none, or nil if too many calls
// wait.
func (f *Freshness) join(now time.Time) *inquiry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting >= kqcatchup.MaxWaiting {
		return nil
	}
	f.waiting++
	if f.next == nil {
		i := &inquiry{concluded: make(chan struct{}), state: kqcatchup.New(0)}
		f.next = i
		time.AfterFunc(kqcatchup.StartAfter(f.lastStart, now), func() {
			f.supervisor.RunRecovered(component, func() { f.run(i) })
		})
	}
	return f.next
}

func (f *Freshness) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting--
}

// run asks the peers, and waits until the newest version that they know is in force or no call
// waits for it any longer.
func (f *Freshness) run(i *inquiry) {
	defer close(i.concluded)
	f.mu.Lock()
	f.next, f.lastStart = nil, time.Now()
	f.mu.Unlock()
	peers := f.choose()
	i.mu.Lock()
	i.state = kqcatchup.New(len(peers))
	i.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	f.counter.PeersAsked()
	ctx, cancel := context.WithTimeout(context.Background(), kqcatchup.MaxWait)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range peers {
		group.Go(func() { f.supervisor.RunRecovered(component, func() { f.ask(ctx, i, to) }) })
	}
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		if v := i.conclude(f.inForce(), false); v == kqcatchup.Newest || v == kqcatchup.Unknown {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ask asks one peer, and lets the node fetch the peer's version if it is newer.
func (f *Freshness) ask(ctx context.Context, i *inquiry, to kqname.Address) {
	a, err := kqrpc.Call[question, answer](ctx, f.client, to, methodNewest, question{})
	i.mu.Lock()
	if err != nil {
		i.state.Failed()
	} else {
		i.state.Answered(a.Newest)
	}
	i.mu.Unlock()
	if err == nil {
		f.versions.VersionSeen(a.Newest, to)
	}
}

// choose returns the addresses of a random member that watches the store and of another random
// member, or of two random members if no other member watches the store.
func (f *Freshness) choose() []kqname.Address {
	var list []kqname.Address
	all := f.fleet.Members()
	for _, members := range [][]kqmember.Member{f.fleet.Watchers(), all, all} {
		chosen, count := kqname.Address(""), 0
		for _, m := range members {
			if m.Node == f.self || m.State != kqmember.Alive || len(list) > 0 && m.Control == list[0] {
				continue
			}
			if count++; rand.IntN(count) == 0 {
				chosen = m.Control
			}
		}
		if chosen != "" && len(list) < maxPeers {
			list = append(list, chosen)
		}
	}
	return list
}

func (i *inquiry) conclude(inForce kqname.ConfigVersion, isFinal bool) kqcatchup.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Conclude(inForce, isFinal)
}
