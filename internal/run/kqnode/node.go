package kqnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqadmin"
	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/config/kqreplica"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqinbound"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbudget"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmembersync"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrates"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqsuspicion"
	"github.com/kumquatgw/kumquatgw/internal/run/kqevents"
	"github.com/kumquatgw/kumquatgw/internal/run/kqkeylog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqmemberlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqmetric"
	"github.com/kumquatgw/kumquatgw/internal/run/kqrecord"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/security/kqidentity"
	"github.com/kumquatgw/kumquatgw/internal/security/kqreload"
	"github.com/kumquatgw/kumquatgw/internal/store/kqbootstrap"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// RoleControl is the listener for peers.
	RoleControl Role = "control"
	// RoleGate is the listener for calls from other nodes.
	RoleGate Role = "gate"
	// RoleEntry is the listener for callers from outside.
	RoleEntry Role = "entry"
	// RoleLocal is the listener for the local upstream.
	RoleLocal Role = "local"
	// RoleReady is the listener for readiness probes.
	RoleReady Role = "ready"
	// RoleAdmin is the listener for operators.
	RoleAdmin Role = "admin"

	// keyRoot begins the keys of all entries that nodes write.
	keyRoot = "kumquatgw/"

	sweepPeriod = 250 * time.Millisecond
	// peerDiscoveryTimeout bounds how long a starting node waits for its peers'
	// upstreams before it reports ready; they are announced within two seconds.
	peerDiscoveryTimeout = 3 * time.Second
	// storeCallsLogPeriod is the pause between two log lines that count the calls to the store.
	storeCallsLogPeriod = 10 * time.Second
	// killMargin is the part of the time until the kill that is reserved for answering
	// cancelled calls, the final announcement and the process's exit on a slow server.
	killMargin = 700 * time.Millisecond
	// recentEventsLogPeriod is the pause between two log lines that repeat the latest
	// events. Log collectors keep the last 125 KB of a node's log, which the lines of
	// failed calls fill in four seconds at the highest rate that the settings allow.
	recentEventsLogPeriod = 3 * time.Second
)

// errListenerPanicked is the error of Run after a panic in a listener.
var errListenerPanicked = errors.New("listener panicked")

// ErrKilled is a cause for Run's context that ends a node without a drain or a final
// announcement, like the loss of its server.
var ErrKilled = errors.New("node killed")

type (
	// Node is one kumquatgw process, on the same server as its upstream.
	Node struct {
		settings kqsettings.Settings
		store    kqstore.Store
		logger   *kqlog.Logger
		log      *logrus.Entry
		metrics  *kqmetric.Metrics

		listeners         listeners
		table             *kqmember.Table
		peers             *kqrpc.Server
		client            *kqrpc.Client
		broadcaster       *kqbroadcast.Broadcaster
		memberSync        *kqmembersync.Synchronizer
		replica           *kqreplica.Replica
		budget            *kqbudget.Budget
		distribution      distribution
		peerOptions       []kqrpc.ClientOption
		local             *kqlocal.Upstreams
		gate              *kqgate.Gate
		entry             *kqentry.Entry
		nesting           *kqnesting.Calls
		grace             kqgrace.Grace
		disconnectWatcher *kqdisconnect.Watcher
		servers           callServers
		rollouts          *rollouts
		admin             *kqadmin.AdminServer
		identity          *kqidentity.Identity
		securityMetrics   *kqmetric.Security
		tokenReloader     *kqreload.Reloader
		leaving           atomic.Bool
		started           time.Time
		wrapListener      func(Role, net.Listener) net.Listener
		adapter           Adapter
		// initialState is what the store held at the start; nil without an adapter's lister.
		initialState         *kqbootstrap.State
		pendingAnnouncements pendingAnnouncements
		recorder             *kqrecord.Recorder
		supervisor           *kqsupervisor.Supervisor
		account              *kqmemory.Account
		// shortageLogged is when a shortage of memory or connections was last logged, in Unix
		// nanoseconds.
		shortageLogged atomic.Int64
		// unansweredLimiter limits the lines about unanswered requests.
		unansweredLimiter *rate.Limiter
		// inbound is nil if the settings do not state the link's bandwidth.
		inbound          *kqinbound.Link
		storeUnavailable atomic.Bool
		recentEvents     kqevents.History
		memberProcesses  memberProcesses
		memberLog        *kqmemberlog.Log
		keyLog           *kqkeylog.Log
		// hadPeer is set once the node has known another node.
		hadPeer atomic.Bool
		// suspicions is nil if the settings switch the quarantine off.
		suspicions *kqsuspicion.Suspicions
		rates      *kqrates.Service
		// evacuated are the evacuated failure domains of the snapshot in force.
		evacuationMu sync.Mutex
		evacuated    []kqname.Domain
		// unwrittenLines returns the number of log lines that the log's output did not
		// accept, and loggedUnwritten is the number that was last logged.
		unwrittenLines  func() uint64
		loggedUnwritten uint64
		// callListeners holds the TCP listeners for calls, and connections the
		// wrappers that track their connections.
		callListeners map[Role]*net.TCPListener
		connections   map[Role]*kqconnection.Listener
	}

	// Role names the purpose of a listener.
	Role string

	// Option configures a Node.
	Option func(*Node)

	listeners struct {
		control, gate, entry, local, ready, admin net.Listener
	}
)

// WithLogger sets the node's logger.
func WithLogger(l *kqlog.Logger) Option { return func(n *Node) { n.logger = l } }

// WithUnwrittenLines sets the function that returns how many log lines the log's output
// did not accept.
func WithUnwrittenLines(count func() uint64) Option {
	return func(n *Node) { n.unwrittenLines = count; n.metrics.RegisterUnwrittenLines(count) }
}

// WithListener replaces each listener that the node opens by the result of wrapListener,
// so that a test can break its connections.
func WithListener(wrapListener func(Role, net.Listener) net.Listener) Option {
	return func(n *Node) { n.wrapListener = wrapListener }
}

// WithPeerOptions sets the options of the client that connects to peers.
func WithPeerOptions(options ...kqrpc.ClientOption) Option {
	return func(n *Node) { n.peerOptions = options }
}

// New opens the node's listeners and assembles its parts. Run starts the node.
func New(settings kqsettings.Settings, store kqstore.Store, options ...Option) (*Node, error) {
	n := &Node{
		settings: settings, store: store, logger: kqlog.Discard(), metrics: kqmetric.New(), started: time.Now(),
		wrapListener:  func(_ Role, l net.Listener) net.Listener { return l },
		callListeners: make(map[Role]*net.TCPListener), connections: make(map[Role]*kqconnection.Listener),
		unwrittenLines: func() uint64 { return 0 }, memberLog: kqmemberlog.New(), unansweredLimiter: newUnansweredLimiter(),
	}
	for _, o := range options {
		o(n)
	}
	n.logger = n.logger.WithNode(string(settings.Node.Name))
	n.log = n.logger.Part("node")
	n.supervisor = kqsupervisor.New(n.recordPanic)
	n.account = n.newAccount()
	n.metrics.RegisterAccount(n.account)
	if err := n.listen(); err != nil {
		n.listeners.close()
		return nil, fmt.Errorf("start node %s: %w", settings.Node.Name, err)
	}
	if err := n.setUpTLS(); err != nil {
		n.listeners.close()
		return nil, fmt.Errorf("start node %s: %w", settings.Node.Name, err)
	}
	n.table = kqmember.NewTable(kqmember.Member{
		Node: settings.Node.Name, Domain: settings.Node.Domain, Region: settings.Node.Region, Service: settings.Node.Service,
		Control:   advertisedAddress(settings.Node.ControlAddress, n.listeners.control),
		Gate:      advertisedAddress(settings.Node.GateAddress, n.listeners.gate),
		LinkMbits: settings.Node.LinkMbits, CoreShare: settings.Node.CoreShare,
		// The records of a replaced node must supersede those of its previous
		// process. Nothing is persisted, so the start time orders them.
		Incarnation: uint64(n.started.UnixMilli()), Process: uint64(n.started.UnixMilli()),
	})
	n.table.OnChange(n.logMember)
	n.table.OnChange(n.recordPeer)
	if n.adapter.OnResponse != nil {
		n.adapter.OnResponse(n.recordStoreCall)
	}
	n.budget = kqbudget.New(settings.Member.SendBudget, n.metrics, func() { n.metrics.BudgetExceeded("send") })
	n.peers = kqrpc.NewServer(n.budget, n.peerServerOptions()...)
	n.client = kqrpc.NewClient(settings.Node.Name, n.budget, append(n.peerClientOptions(), n.peerOptions...)...)
	if n.adapter.Lister != nil {
		n.initialState = kqbootstrap.New(n.adapter.Lister, keyRoot)
	}
	n.setUpConfig()
	n.rollouts = n.newRollouts()
	n.setUpCalls()
	n.handleReports()
	if err := n.setUpAdmin(); err != nil {
		n.listeners.close()
		return nil, fmt.Errorf("start node %s: %w", settings.Node.Name, err)
	}
	return n, nil
}

// Run serves until ctx ends or a listener fails, and then leaves: new calls are diverted
// to other nodes first, and calls in flight finish or, after the drain timeout, are
// cancelled. If the cause of ctx is ErrKilled, Run returns without leaving.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"event": "started", "settings": n.settings.NonDefaults()}).Infof("Started as %s in %s.", n.settings.Node.Name, n.settings.Node.Domain)
	n.recentEvents.Add("started", n.started)
	background, stop := context.WithCancel(n.supervisor.With(context.Background()))
	defer stop()
	var group conc.WaitGroup
	supervise := func(part string, f func()) {
		group.Go(func() { n.supervisor.RunWithRestart(background, part, f) })
	}
	n.runConfig(background, supervise)
	supervise("sweep", func() { runEvery(background, sweepPeriod, n.sweep) })
	supervise("collect", func() { n.collect(background) })
	supervise("notable", func() { runEvery(background, recentEventsLogPeriod, n.logRecentEvents) })
	if n.adapter.OnResponse != nil {
		supervise("store_calls", func() { runEvery(background, storeCallsLogPeriod, n.logStoreCalls) })
	}
	supervise("hangup", func() { n.disconnectWatcher.Run(background) })
	supervise("tls", func() { n.runTLS(background) })
	n.runAdmin(background, supervise)
	n.rollouts.run(background, supervise)
	n.runSuspicions(background, supervise)
	supervise("rates", func() { n.rates.Run(background) })
	failed := make(chan error, 8)
	serve := func(f func() error) {
		group.Go(func() {
			// A listener that panics is not restarted; the node drains and stops.
			err := errListenerPanicked
			n.supervisor.RunRecovered("listener", func() { err = f() })
			if err != nil {
				failed <- err
			}
		})
	}
	serve(func() error { return n.peers.Serve(background, n.listeners.control) })
	n.servers.serve(serve, n.listeners)
	if n.listeners.ready != nil {
		serve(func() error { return n.servers.ready.Serve(n.listeners.ready) })
	}
	if n.admin != nil {
		serve(func() error { return n.admin.Serve(n.listeners.admin, n.adminTLS()) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	if !errors.Is(context.Cause(ctx), ErrKilled) {
		err = errors.Join(err, n.leave())
	}
	stop()
	n.client.Close()
	n.listeners.close()
	group.Wait()
	n.logStopped(ctx, err)
	return err
}

// Reload applies the settings that may change while the node runs: the log's level and
// its limits on the lines about calls. The others take effect when the node is restarted.
func (n *Node) Reload(s kqsettings.Settings) error {
	if err := n.logger.SetLevel(s.Log.Level); err != nil {
		return fmt.Errorf("reload settings: %w", err)
	}
	n.recorder.SetLimits(s.Log.SampleEvery, s.Log.PerReason)
	n.logEvent(logrus.Fields{"event": "reload", "settings": s.NonDefaults()}, "Settings reloaded.")
	return nil
}

// Ready reports whether the node has a configuration, has finished discovering its
// peers' upstreams, and is not leaving.
func (n *Node) Ready() bool {
	return n.replica.Current().Version() > 0 && !n.leaving.Load() && n.peerDiscoveryDone(time.Now())
}

// peerDiscoveryDone reports whether the node knows an upstream on another node or has
// waited peerDiscoveryTimeout for one, and whether it has asked its peers which requests they
// refuse. Without the wait, a node that has just started
// would refuse all calls between receiving its configuration and its peers' answers. A
// node without a platform's dialect does not wait.
func (n *Node) peerDiscoveryDone(now time.Time) bool {
	if n.adapter.Dialect == nil || now.Sub(n.started) >= peerDiscoveryTimeout {
		return true
	}
	if !n.suspicionsLearned(now) {
		return false
	}
	for _, m := range n.table.Members() {
		if m.Node != n.settings.Node.Name && m.State == kqmember.Alive && len(m.Upstreams) > 0 {
			return true
		}
	}
	return false
}

// Name returns the node's name.
func (n *Node) Name() kqname.Node { return n.settings.Node.Name }

// EnsureHost fetches a host's routes unless the node holds them, and returns the snapshot
// with them.
func (n *Node) EnsureHost(ctx context.Context, host kqname.Host) (*kqsnapshot.Snapshot, error) {
	return n.replica.EnsureHost(ctx, host, time.Now())
}

// Version returns the configuration version in force.
func (n *Node) Version() kqname.ConfigVersion { return n.replica.Current().Version() }

// Snapshot returns the configuration in force.
func (n *Node) Snapshot() *kqsnapshot.Snapshot { return n.replica.Current() }

// Members returns the node's view of the fleet.
func (n *Node) Members() []kqmember.Member { return n.table.Members() }

// Metrics returns the node's counters.
func (n *Node) Metrics() *kqmetric.Metrics { return n.metrics }

// sweep removes what has expired: upstreams that no longer announce themselves, idle
// connections and unused hosts. It also closes the idle connections to nodes that are
// leaving, which wait for that, and to dead ones.
func (n *Node) sweep(now time.Time) {
	n.sweepUpstreams(now)
	n.account.Sweep(n.settings.Call.WriteTimeout, now)
	n.gate.Sweep(now)
	for _, l := range n.gate.Limits() {
		n.local.SetLimit(l.Address, l.Limited, l.PerSecond, now)
	}
	n.entry.Sweep(now)
	if n.suspicions != nil {
		n.suspicions.Sweep(now)
	}
	for _, m := range n.table.Members() {
		if m.State >= kqmember.Leaving {
			n.entry.CloseIdleTo(m.Gate)
		}
	}
	n.replica.Sweep(now.Add(-n.settings.Config.InterestIdle))
	n.logMembers(now)
}
