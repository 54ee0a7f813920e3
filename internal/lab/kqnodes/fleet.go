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
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	domains           = 4
	regions           = 2
	nodesPerService   = 6
	hostsPerNode      = 3
	seeds             = 3
	pollEvery         = 2 * time.Millisecond
	maxParallelStarts = 16
)

type (
	// fleet holds the nodes of one run and the platform that they share.
	fleet struct {
		platform *kqfakestore.Fake
		store    *meteredStore
		strategy string
		prefetch bool
		// usedServices is how many services have nodes: one for every 6 nodes, which is
		// the ratio of a fleet of 550 nodes with 89 services.
		usedServices int
		group        conc.WaitGroup

		mu    sync.Mutex
		nodes []*member
		// killedBytes sums the control bytes of nodes that were killed.
		killedBytes uint64
	}

	// member is a running node of the fleet. done is closed once the node has stopped.
	member struct {
		*kqnode.Node
		number int
		kill   context.CancelCauseFunc
		done   chan struct{}
	}
)

func newFleet(strategy string, prefetch bool, count int) *fleet {
	platform := kqfakestore.New()
	return &fleet{platform: platform, store: &meteredStore{Store: platform}, strategy: strategy, prefetch: prefetch, usedServices: min(max(count/nodesPerService, 1), services)}
}

// start starts the nodes with the given numbers, a few in parallel. A node that is
// started again under its number stands for a replaced VM: it has another address and
// no state.
func (f *fleet) start(numbers []int, seedAddresses []kqname.Address) error {
	p := pool.New().WithErrors().WithMaxGoroutines(maxParallelStarts)
	for _, i := range numbers {
		p.Go(func() error { return f.startOne(i, seedAddresses) })
	}
	if err := p.Wait(); err != nil {
		return fmt.Errorf("start %d nodes: %w", len(numbers), err)
	}
	return nil
}

func (f *fleet) startOne(i int, seedAddresses []kqname.Address) error {
	s := kqsettings.Default()
	s.Node.Name = kqname.Node(fmt.Sprintf("node-%03d", i))
	s.Node.Domain = kqname.Domain(fmt.Sprintf("domain-%d", i%domains))
	s.Node.Region = kqname.Region(fmt.Sprintf("region-%d", i%domains%regions))
	s.Node.Service = service(i % f.usedServices)
	for _, a := range []*kqname.Address{&s.Node.EntryListen, &s.Node.LocalListen, &s.Node.GateListen, &s.Node.ControlListen} {
		*a = "127.0.0.1:0"
	}
	s.Config.Strategy, s.Config.Prefetch = f.strategy, f.prefetch
	for _, a := range seedAddresses {
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
		// The error is dropped: a node runs until it is killed.
		_ = n.Run(ctx)
	})
	return nil
}

// kill stops the selected nodes without a graceful leave and returns their numbers.
func (f *fleet) kill(selected func(number int) bool) []int {
	f.mu.Lock()
	var numbers []int
	var killed, kept []*member
	for _, m := range f.nodes {
		if selected(m.number) {
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
		f.killedBytes += sent + received
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

// seeds returns the control addresses of the first nodes, three at most.
func (f *fleet) seeds() []kqname.Address {
	var addresses []kqname.Address
	for _, m := range f.members() {
		if len(addresses) < seeds {
			addresses = append(addresses, m.ControlAddress())
		}
	}
	return addresses
}

// awaitVersion waits until every node has at least the given version and returns the
// time that has passed since the given moment. If the timeout passes or ctx ends first,
// it returns an error with the number of nodes that lack the version.
func (f *fleet) awaitVersion(ctx context.Context, v kqname.ConfigVersion, since time.Time, timeout time.Duration) (time.Duration, error) {
	waiting := f.members()
	for {
		var behind []*member
		for _, m := range waiting {
			if m.Version() < v {
				behind = append(behind, m)
			}
		}
		took := time.Since(since)
		if len(behind) == 0 {
			return took, nil
		}
		if took > timeout || ctx.Err() != nil {
			return took, fmt.Errorf("timeout of %s passed or run cancelled: version %d is missing on %d nodes, among them %s", timeout, v, len(behind), behind[0].Name())
		}
		waiting = behind
		time.Sleep(pollEvery)
	}
}

// ensureHosts makes each node fetch the configuration of hostsPerNode hosts, unless it
// holds it already, and returns how long each EnsureHost took. The hosts are the same for
// all nodes of a service.
func (f *fleet) ensureHosts(ctx context.Context, nodes []*member) ([]time.Duration, error) {
	p := pool.NewWithResults[time.Duration]().WithErrors().WithMaxGoroutines(maxParallelStarts)
	for _, m := range nodes {
		for j := range hostsPerNode {
			p.Go(func() (time.Duration, error) {
				began := time.Now()
				index := m.number % f.usedServices
				_, err := m.EnsureHost(ctx, host(index+j*(index+1)))
				return time.Since(began), err
			})
		}
	}
	waits, err := p.Wait()
	if err != nil {
		return nil, fmt.Errorf("ensure hosts: %w", err)
	}
	return waits, nil
}

// controlBytes sums the bytes that all nodes, including killed ones, sent and received
// on control connections and exchanged with the platform's service.
func (f *fleet) controlBytes() uint64 {
	total := f.store.bytes.Load() + f.killedBytes
	for _, m := range f.members() {
		sent, received := m.Metrics().ControlBytes()
		total += sent + received
	}
	return total
}
