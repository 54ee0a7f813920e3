package kqdistribute

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/config/kqlag"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqstart"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodPush = "c.p"
	methodRoot = "c.r"

	pushTimeout = time.Second
	// pullTimeout bounds the pull of a root or delta of some KB from one peer. A peer that is
	// short of processor time needs a second and more; if its pulls were abandoned earlier,
	// all would be in vain while most peers are.
	pullTimeout = 2 * time.Second
	// pullHedgeDelay is the time after which another peer is called beside a pull, and
	// maxPulls bounds the pulls in flight from peers that are no readers.
	pullHedgeDelay = 100 * time.Millisecond
	maxPulls       = 8
	// maxRoots is how many roots are kept to compute deltas from; a node that is that
	// many versions behind pulls the whole root.
	maxRoots = 16
)

type (
	// Replica applies versions, for which it fetches the objects that it lacks.
	Replica interface {
		ApplyRoot(ctx context.Context, root kqresource.Root) error
	}

	// Overlay returns the peers to push to.
	Overlay interface {
		Neighbours() []kqmember.Member
	}

	// Budget limits bulk transfers. Delay returns how long a transfer must wait, or 0
	// if it may be sent now.
	Budget interface {
		Delay(now time.Time) time.Duration
	}

	// Distributor holds the newest roots and distributes them. It is safe for
	// concurrent use.
	Distributor struct {
		client    *kqrpc.Client
		table     *kqmember.Table
		overlay   Overlay
		budget    Budget
		replica   Replica
		onFailure func(version kqname.ConfigVersion, err error)
		lag       kqlag.Lag
		onInForce func(kqlag.Report)
		group     conc.WaitGroup

		mu sync.Mutex
		// roots holds the newest roots in ascending order of their versions.
		roots []rootRecord
		hints map[kqname.Address]hint
		// pulling holds the peers that are being pulled from.
		pulling map[kqname.Address]bool
		// answeredPeers holds the failure domains of the peers that have answered before
		// the node started to apply versions; started is set once it may do so.
		answeredPeers    map[kqname.Node]kqname.Domain
		platformAnswered bool
		started          bool
		pullWake         chan struct{}
		applyWake        chan struct{}
		// cancelApply cancels the apply in flight at once; startSupersedeGrace starts the
		// timer that cancels it after supersedeGrace.
		cancelApply, startSupersedeGrace func()
	}

	// rootRecord is a root with its digest and encoded bytes.
	rootRecord struct {
		root   kqresource.Root
		digest kqresource.Digest
		data   []byte
	}

	// hint is the version whose root a peer reported to hold, the root's digest unless only
	// the version was reported, and, if the peer refused a pull because it was busy, the time
	// after which it may be called again.
	hint struct {
		version    kqname.ConfigVersion
		digest     kqresource.Digest
		retryAfter time.Time
	}

	// Option configures a Distributor.
	Option func(*Distributor)
)

// WithOnInForce calls f each time that this node was behind and a version came into force.
func WithOnInForce(f func(kqlag.Report)) Option { return func(d *Distributor) { d.onInForce = f } }

// New returns a Distributor that serves peers on server and calls them through
// client. onFailure is called for each failure to apply or encode a version, or to build
// it from a delta, and for each root that is not the announced one.
func New(server *kqrpc.Server, client *kqrpc.Client, table *kqmember.Table, overlay Overlay, budget Budget,
	replica Replica, onFailure func(kqname.ConfigVersion, error), options ...Option,
) *Distributor {
	d := &Distributor{
		client: client, table: table, overlay: overlay, budget: budget, replica: replica, onFailure: onFailure,
		hints: make(map[kqname.Address]hint), pulling: make(map[kqname.Address]bool), answeredPeers: make(map[kqname.Node]kqname.Domain),
		pullWake: make(chan struct{}, 1), applyWake: make(chan struct{}, 1), cancelApply: func() {}, startSupersedeGrace: func() {},
		onInForce: func(kqlag.Report) {},
	}
	for _, o := range options {
		o(d)
	}
	kqrpc.Handle(server, methodPush, d.handlePush)
	kqrpc.Handle(server, methodRoot, d.handleRoot)
	return d
}

// Run pulls and applies versions until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	defer d.group.Wait()
	supervisor := kqsupervisor.From(ctx)
	d.group.Go(func() { supervisor.RunWithRestart(ctx, "pull", func() { d.pullLoop(ctx) }) })
	supervisor.RunWithRestart(ctx, "apply", func() { d.applyLoop(ctx) })
}

// Newest returns the highest version whose root this node holds.
func (d *Distributor) Newest() kqname.ConfigVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest().root.Version
}

// NewestRoot returns the root with the highest version that this node holds, or an empty one.
// It must not be changed.
func (d *Distributor) NewestRoot() kqresource.Root {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest().root
}

// VersionSeen records that a peer reports to hold a version, and triggers a pull. It
// ignores versions that are not newer than this node's.
func (d *Distributor) VersionSeen(v kqname.ConfigVersion, from kqname.Address) {
	d.addHint(from, hint{version: v})
}

// addHint records what a peer reports to hold, and triggers a pull. It ignores versions that
// are not newer than this node's.
func (d *Distributor) addHint(from kqname.Address, reported hint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reported.version <= d.newest().root.Version || from == "" {
		return
	}
	d.lag.Announced(reported.version, time.Now())
	known := d.hints[from]
	if reported.version > known.version || reported.version == known.version && known.digest.IsZero() {
		reported.retryAfter = known.retryAfter
		d.hints[from] = reported
	}
	wake(d.pullWake)
}

// Started reports whether the node has had enough answers to apply versions.
func (d *Distributor) Started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// PeerAnswered records that a peer has reported its version; unless the platform answers, a
// starting node needs such answers before it applies its first version.
func (d *Distributor) PeerAnswered(n kqname.Node, _ kqname.ConfigVersion) {
	m, ok := d.table.Find(n)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started {
		d.answeredPeers[n] = m.Domain
		wake(d.applyWake)
	}
}

// AcceptRoot adds a root that was read from the platform, or built from what was read
// there, and records that the platform has answered.
func (d *Distributor) AcceptRoot(ctx context.Context, root kqresource.Root) {
	data, err := kqresource.Encode(root)
	if err != nil {
		d.onFailure(root.Version, fmt.Errorf("encode root from the platform: %w", err))
		return
	}
	d.mu.Lock()
	d.platformAnswered = true
	d.mu.Unlock()
	wake(d.applyWake)
	d.addRoot(ctx, rootRecord{root: root, digest: kqresource.DigestOf(data), data: data}, "")
}

// addRoot adds a root if it is newer than all held, and pushes it at once, so that
// neighbours need not wait until this node has fetched its objects.
func (d *Distributor) addRoot(ctx context.Context, r rootRecord, from kqname.Address) {
	d.mu.Lock()
	if r.root.Version <= d.newest().root.Version {
		d.mu.Unlock()
		return
	}
	d.lag.RootReceived(r.root.Version, from, time.Now())
	d.roots = append(d.roots, r)
	if len(d.roots) > maxRoots {
		d.roots = append([]rootRecord(nil), d.roots[len(d.roots)-maxRoots:]...)
	}
	for peer, h := range d.hints {
		if h.version <= r.root.Version {
			delete(d.hints, peer)
		}
	}
	d.startSupersedeGrace()
	d.mu.Unlock()
	wake(d.applyWake)
	d.push(ctx, r, from)
}

// newest returns the newest root held, or an empty record. It requires d.mu.
func (d *Distributor) newest() rootRecord {
	if len(d.roots) == 0 {
		return rootRecord{}
	}
	return d.roots[len(d.roots)-1]
}

// isStarting reports whether the node must not apply its first version yet, and records
// it in started once the node may. The node first pulls each newer version that a peer
// has reported, unless that peer was busy, and then needs the answers that
// kqstart.Evidence requires.
func (d *Distributor) isStarting() bool {
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
	e := kqstart.Evidence{Platform: d.platformAnswered, Answered: d.answeredPeers, Known: known}
	for _, h := range d.hints {
		if h.version > d.newest().root.Version && h.retryAfter.IsZero() {
			return true
		}
	}
	d.started = e.Enough()
	return !d.started
}

// wake signals c without blocking; a signal that is pending already is enough.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
