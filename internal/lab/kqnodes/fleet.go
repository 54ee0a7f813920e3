package kqnodes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	domains         = 4
	regions         = 2
	nodesPerService = 6
	hostsPerNode    = 3
	seeds           = 3
	pollEvery       = 2 * time.Millisecond
	startTogether   = 16
)

type (
	// fleet is the nodes of one run and the platform that they share.
	fleet struct {
		platform *kqstandin.Standin
		store    *meteredStore
		strategy string
		prefetch bool
		// kinds is how many services the nodes stand beside: 6 nodes each, as at
		// 550 nodes and 89 services.
		kinds int
		group conc.WaitGroup

		mu    sync.Mutex
		nodes []*member
		// retired sums the control bytes of nodes that were killed.
		retired uint64
	}

	member struct {
		*kqnode.Node
		number int
		kill   context.CancelCauseFunc
		done   chan struct{}
	}
)

func newFleet(strategy string, prefetch bool, count int) *fleet {
	platform := kqstandin.New()
	return &fleet{platform: platform, store: &meteredStore{Store: platform}, strategy: strategy, prefetch: prefetch, kinds: min(max(count/nodesPerService, 1), services)}
}

// start runs the nodes of the given numbers, some at a time. A node that is
// started again under its number is a replaced VM: another address, no memory.
func (f *fleet) start(numbers []int, known []kqname.Address) error {
	p := pool.New().WithErrors().WithMaxGoroutines(startTogether)
	for _, i := range numbers {
		p.Go(func() error { return f.startOne(i, known) })
	}
	if err := p.Wait(); err != nil {
		return fmt.Errorf("start %d nodes: %w", len(numbers), err)
	}
	return nil
}

func (f *fleet) startOne(i int, known []kqname.Address) error {
	s := kqsettings.Default()
	s.Node.Name = kqname.Node(fmt.Sprintf("node-%03d", i))
	s.Node.Domain = kqname.Domain(fmt.Sprintf("domain-%d", i%domains))
	s.Node.Region = kqname.Region(fmt.Sprintf("region-%d", i%domains%regions))
	s.Node.Service = service(i % f.kinds)
	for _, a := range []*kqname.Address{&s.Node.EntryListen, &s.Node.LocalListen, &s.Node.GateListen, &s.Node.ControlListen} {
		*a = "127.0.0.1:0"
	}
	s.Config.Strategy, s.Config.Prefetch = f.strategy, f.prefetch
	for _, a := range known {
		s.Member.Seeds = append(s.Member.Seeds, string(a))
	}
	n, err := kqnode.New(s, f.store)
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancelCause(context.Background())
	m := &member{Node: n, number: i, kill: kill, done: make(chan struct{})}
	f.mu.Lock()
	f.nodes = append(f.nodes, m)
	f.mu.Unlock()
	f.group.Go(func() {
		defer close(m.done)
		// A killed node has nobody left to tell of its error.
		_ = n.Run(ctx)
	})
	return nil
}

// kill ends the chosen nodes without a goodbye.
func (f *fleet) kill(chosen func(number int) bool) []int {
	f.mu.Lock()
	var numbers []int
	var killed, kept []*member
	for _, m := range f.nodes {
		if chosen(m.number) {
			numbers, killed = append(numbers, m.number), append(killed, m)
		} else {
			kept = append(kept, m)
		}
	}
	f.nodes = kept
	f.mu.Unlock()
	for _, m := range killed {
		m.kill(kqnode.ErrKilled)
	}
	for _, m := range killed {
		<-m.done
		sent, received := m.Metrics().ControlBytes()
		f.retired += sent + received
	}
	return numbers
}

func (f *fleet) close() {
	f.kill(func(int) bool { return true })
	f.group.Wait()
}

func (f *fleet) members() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*member(nil), f.nodes...)
}

func (f *fleet) seeds() []kqname.Address {
	var list []kqname.Address
	for _, m := range f.members() {
		if len(list) < seeds {
			list = append(list, m.ControlAddress())
		}
	}
	return list
}

// await returns how long it took until every node had the version, or how many
// had not when the time was over.
func (f *fleet) await(ctx context.Context, v kqname.ConfigVersion, since time.Time, most time.Duration) (time.Duration, error) {
	waiting := f.members()
	for {
		var late []*member
		for _, m := range waiting {
			if m.Version() < v {
				late = append(late, m)
			}
		}
		took := time.Since(since)
		if len(late) == 0 {
			return took, nil
		}
		if took > most || ctx.Err() != nil {
			return took, fmt.Errorf("wait %s for version %d: %d nodes do not have it, %s among them", most, v, len(late), late[0].Name())
		}
		waiting = late
		time.Sleep(pollEvery)
	}
}

// want gives nodes traffic for a few hosts, the same for all nodes of a service,
// and returns how long each first call waited.
func (f *fleet) want(ctx context.Context, nodes []*member) ([]time.Duration, error) {
	p := pool.NewWithResults[time.Duration]().WithErrors().WithMaxGoroutines(startTogether)
	for _, m := range nodes {
		for j := range hostsPerNode {
			p.Go(func() (time.Duration, error) {
				began := time.Now()
				kind := m.number % f.kinds
				_, err := m.Want(ctx, host(kind+j*(kind+1)))
				return time.Since(began), err
			})
		}
	}
	waits, err := p.Wait()
	if err != nil {
		return nil, fmt.Errorf("want hosts: %w", err)
	}
	return waits, nil
}

// controlBytes sums what all nodes sent and received on control links, and what
// they exchanged with the platform's service.
func (f *fleet) controlBytes() uint64 {
	total := f.store.bytes.Load() + f.retired
	for _, m := range f.members() {
		sent, received := m.Metrics().ControlBytes()
		total += sent + received
	}
	return total
}
