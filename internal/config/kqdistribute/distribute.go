package kqdistribute

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqstart"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodPush = "c.p"
	methodRoot = "c.r"

	pushTimeout = time.Second
	// pullTimeout is how long one peer is waited for with a root, or what has changed
	// of it, some KB: one that is cut off must not keep the node from asking another.
	pullTimeout = 500 * time.Millisecond
	// history is how many roots are kept to make deltas from: a node that is
	// that many versions behind takes the whole root.
	history = 16
)

type (
	// Replica puts versions in force.
	Replica interface {
		Offer(ctx context.Context, root kqresource.Root) error
	}

	// Overlay gives the peers to push to.
	Overlay interface {
		Neighbours() []kqmember.Member
	}

	// Budget says how long bulk must wait; 0 sends it now.
	Budget interface {
		Allow(now time.Time) time.Duration
	}

	// Distributor holds the newest root and spreads it. It is safe for
	// concurrent use.
	Distributor struct {
		client  *kqpeer.Client
		table   *kqmember.Table
		overlay Overlay
		budget  Budget
		replica Replica
		failed  func(version kqname.ConfigVersion, err error)
		group   conc.WaitGroup

		mu       sync.Mutex
		held     []record
		hints    map[kqname.Address]hint
		answered map[kqname.Node]kqname.Domain
		platform bool
		started  bool
		pull     chan struct{}
		apply    chan struct{}
		// release ends the apply that is under way, superseded after a grace.
		release, superseded func()
	}

	record struct {
		root   kqresource.Root
		digest kqresource.Digest
		data   []byte
	}

	hint struct {
		version kqname.ConfigVersion
		after   time.Time
	}
)

// New returns a distributor that answers on server and sends through client;
// failed is told of each version that could not be put in force.
func New(server *kqpeer.Server, client *kqpeer.Client, table *kqmember.Table, overlay Overlay, budget Budget,
	replica Replica, failed func(kqname.ConfigVersion, error),
) *Distributor {
	d := &Distributor{
		client: client, table: table, overlay: overlay, budget: budget, replica: replica, failed: failed,
		hints: make(map[kqname.Address]hint), answered: make(map[kqname.Node]kqname.Domain),
		pull: make(chan struct{}, 1), apply: make(chan struct{}, 1), release: func() {}, superseded: func() {},
	}
	kqpeer.Handle(server, methodPush, d.answerPush)
	kqpeer.Handle(server, methodRoot, d.answerRoot)
	return d
}

// Run pulls and applies until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	defer d.group.Wait()
	kept := kqkeeper.From(ctx)
	d.group.Go(func() { kept.Keep(ctx, "pull", func() { d.pulling(ctx) }) })
	kept.Keep(ctx, "apply", func() { d.applying(ctx) })
}

// Newest returns the highest version whose root is held.
func (d *Distributor) Newest() kqname.ConfigVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest().root.Version
}

// Heard notes that a peer says it holds a version.
func (d *Distributor) Heard(v kqname.ConfigVersion, from kqname.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v <= d.newest().root.Version || from == "" {
		return
	}
	if h := d.hints[from]; v > h.version {
		d.hints[from] = hint{version: v, after: h.after}
	}
	wake(d.pull)
}

// Answered notes a peer's answer for the start of this node.
func (d *Distributor) Answered(n kqname.Node, _ kqname.ConfigVersion) {
	m, ok := d.table.Find(n)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started {
		d.answered[n] = m.Domain
		wake(d.apply)
	}
}

// Take takes in the root that the platform answered with.
func (d *Distributor) Take(ctx context.Context, root kqresource.Root) {
	data, err := kqresource.Encode(root)
	if err != nil {
		d.failed(root.Version, fmt.Errorf("take root: %w", err))
		return
	}
	d.mu.Lock()
	d.platform = true
	d.mu.Unlock()
	wake(d.apply)
	d.hold(ctx, record{root: root, digest: kqresource.DigestOf(data), data: data}, "")
}

// hold keeps a root that is newer than all held before, and passes it on at
// once: neighbours need not wait for this node's own objects.
func (d *Distributor) hold(ctx context.Context, r record, from kqname.Address) {
	d.mu.Lock()
	if r.root.Version <= d.newest().root.Version {
		d.mu.Unlock()
		return
	}
	d.held = append(d.held, r)
	if len(d.held) > history {
		d.held = append([]record(nil), d.held[len(d.held)-history:]...)
	}
	for to, h := range d.hints {
		if h.version <= r.root.Version {
			delete(d.hints, to)
		}
	}
	d.superseded()
	d.mu.Unlock()
	wake(d.apply)
	d.push(ctx, r, from)
}

func (d *Distributor) newest() record {
	if len(d.held) == 0 {
		return record{}
	}
	return d.held[len(d.held)-1]
}

// starting reports whether the first version must still be held back.
func (d *Distributor) starting() bool {
	known := make(map[kqname.Node]kqname.Domain)
	self := d.table.Self().Node
	for _, m := range d.table.Members() {
		if m.Node != self && m.State == kqmember.Alive {
			known[m.Node] = m.Domain
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return false
	}
	e := kqstart.Evidence{Platform: d.platform, Answered: d.answered, Known: known}
	for _, h := range d.hints {
		if h.version > d.newest().root.Version && h.after.IsZero() {
			return true
		}
	}
	d.started = e.Enough()
	return !d.started
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
