package kqmemory

import (
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqbuffer"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

const (
	// Connections is the use of memory by the buffers and goroutines of clients' connections.
	Connections Use = iota
	// Calls is the use of memory by requests' heads, by calls in progress, by connections to other
	// processes and by responses.
	Calls
	// SmallBodies is the use of memory by request bodies of up to SmallBody bytes.
	SmallBodies
	// LargeBodies is the use of memory by larger request bodies.
	LargeBodies

	useCount
)

const (
	// SmallBody is the largest size, in bytes, of a small body.
	SmallBody = kqbuffer.MaxSize
	// ConnectionMemory is what a client's connection takes, in bytes: the HTTP library's buffers and
	// the goroutine's stack.
	ConnectionMemory = 40 << 10
	// LingeringMemory is what a connection takes, in bytes, whose input is only discarded.
	LingeringMemory = 8 << 10
	// OutgoingMemory is what a connection to another process takes, in bytes.
	OutgoingMemory = 36 << 10

	// minDivisor: small bodies may always use 1/minDivisor of their limit. A body that is larger
	// than the whole account is accepted only while connections take at most 1/minDivisor of it.
	minDivisor = 8
	// reclaimInterval is the least time between two looks at all clients in vain, and retryInterval that
	// between two attempts to reserve memory: a crowd that waits must not cost more processor time the
	// faster memory is released.
	reclaimInterval, retryInterval = 10 * time.Millisecond, 10 * time.Millisecond
)

type (
	// Use is what memory is used for.
	Use int

	// Limits bounds an account. Each is 0 if there is no bound.
	Limits struct {
		// Total limits all uses together, and the next ones single uses, in bytes.
		Total, SmallBodies, LargeBodies int
		// Spare is how much of Total, in bytes, the other uses leave to Calls.
		Spare int
		// Open limits the open connections of all clients.
		Open int
	}

	// Account is the memory and the connections that clients use. It is safe for concurrent use.
	Account struct {
		limits      [useCount]int
		total       int
		spare       int
		maxOpen     int
		onReclaimed func(kqreclaim.State)
		started     time.Time

		mu      sync.Mutex
		used    [useCount]int
		open    int
		groups  []*Group
		clients map[*Client]struct{}
		// candidates is reused for each decision about who gives way.
		candidates  []kqreclaim.Candidate[*Client]
		lastReclaim time.Time
		// nobodyIdleUntil is until when no client is looked for whose connection may be closed, since
		// there was none.
		nobodyIdleUntil time.Time
	}

	// Option configures an Account.
	Option func(*Account)

	// victim is a client that gives way, and the state in which it was found.
	victim struct {
		client *Client
		state  kqreclaim.State
	}
)

// WithReclaimHandler sets a function that is called with the state of each client that gives way.
func WithReclaimHandler(f func(kqreclaim.State)) Option {
	return func(a *Account) { a.onReclaimed = f }
}

// New returns an account within the limits.
func New(l Limits, options ...Option) *Account {
	a := &Account{
		total: l.Total, spare: l.Spare, maxOpen: l.Open, onReclaimed: func(kqreclaim.State) {}, started: time.Now(),
		clients: make(map[*Client]struct{}),
	}
	a.limits = [useCount]int{SmallBodies: l.SmallBodies, LargeBodies: l.LargeBodies}
	for _, o := range options {
		o(a)
	}
	return a
}

// String returns the use's name in metrics.
func (u Use) String() string {
	return [useCount]string{"connections", "calls", "small_bodies", "large_bodies"}[u]
}

// Uses returns all uses.
func Uses() []Use { return []Use{Connections, Calls, SmallBodies, LargeBodies} }

// Used returns how many bytes are reserved for a use.
func (a *Account) Used(u Use) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[u]
}

// Open returns the number of clients whose connection is open, without those that give way.
func (a *Account) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open
}

// Connect reserves the memory of a connection to another process and reports whether there was
// enough.
func (a *Account) Connect() bool { return a.reserve(Calls, OutgoingMemory, 0, 0) }

// Disconnect releases what Connect has reserved.
func (a *Account) Disconnect() { a.release(Calls, OutgoingMemory) }

// Sweep makes clients give way that have left a response unread for the timeout.
func (a *Account) Sweep(timeout time.Duration, now time.Time) {
	a.mu.Lock()
	victims := a.markReclaimed(kqreclaim.ForTimeout(a.list(nil), timeout, now))
	a.mu.Unlock()
	a.giveWay(victims)
}

// reserve reserves memory, of which the caller holds own bytes already for the same use. It waits at
// most wait until there is enough, and reports whether it succeeded.
func (a *Account) reserve(u Use, size, own int, wait time.Duration) bool {
	for {
		if a.tryReserve(u, size, own) {
			return true
		}
		if wait <= 0 {
			return false
		}
		pause := min(wait, retryInterval)
		time.Sleep(pause)
		wait -= pause
	}
}

// tryReserve reserves memory. If there is not enough, clients give way whose memory would be enough.
func (a *Account) tryReserve(u Use, size, own int) bool {
	a.mu.Lock()
	if a.fits(u, size, own) {
		a.used[u] += size
		a.mu.Unlock()
		return true
	}
	var victims []victim
	if now := time.Now(); now.Sub(a.lastReclaim) >= reclaimInterval {
		a.lastReclaim = now
		need, uses := a.shortage(u, size)
		victims = a.markReclaimed(kqreclaim.ForMemory(a.list(nil, uses...), need, now))
	}
	a.mu.Unlock()
	a.giveWay(victims)
	return false
}

// fits reports whether there is memory for a use by somebody who holds own bytes for it. The caller
// holds a.mu.
func (a *Account) fits(u Use, size, own int) bool {
	// A single large body is accepted even beyond the limit, since it would otherwise never be.
	alone := u == LargeBodies && a.used[LargeBodies] == own
	if limit := a.limits[u]; limit > 0 && a.used[u]+size > limit && !alone {
		return false
	}
	if a.total == 0 {
		return true
	}
	switch {
	case size <= a.free(u):
		return true
	case u == SmallBodies:
		return a.used[u]+size <= a.limits[u]/minDivisor
	default:
		return alone && own+size > a.total && a.used[Connections] <= a.total/minDivisor
	}
}

func (a *Account) release(u Use, size int) {
	if size == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used[u] -= size
}

// shortage returns how many bytes more must be released for a use that does not fit, and by which
// uses: by its own if its limit is reached, else by any. The caller holds a.mu.
func (a *Account) shortage(u Use, size int) (int, []Use) {
	if limit := a.limits[u]; limit > 0 && a.used[u]+size > limit {
		return a.used[u] + size - limit, []Use{u}
	}
	return size - a.free(u), Uses()
}

// free returns how many bytes of the account a use may still reserve. The caller holds a.mu.
func (a *Account) free(u Use) int {
	free := a.total
	for _, n := range a.used {
		free -= n
	}
	if u != Calls {
		free -= a.spare
	}
	return free
}

// list returns the clients that may have to give way, those of one group only if it is not nil, with
// what they hold for the uses. The list is valid until a.mu, which the caller holds, is released.
func (a *Account) list(g *Group, uses ...Use) []kqreclaim.Candidate[*Client] {
	a.candidates = a.candidates[:0]
	for c := range a.clients {
		if g != nil && c.group != g {
			continue
		}
		held := 0
		for _, u := range uses {
			held += int(c.held[u].Load())
		}
		a.candidates = append(a.candidates, kqreclaim.Candidate[*Client]{
			Client: c, State: c.State(), Held: held, Since: a.started.Add(time.Duration(c.progress.Load())),
		})
	}
	return a.candidates
}

// markReclaimed marks the clients that have not changed their state meanwhile, whose connections do
// not count any more. The caller holds a.mu.
func (a *Account) markReclaimed(list []kqreclaim.Candidate[*Client]) []victim {
	var victims []victim
	for _, c := range list {
		if c.Client.state.CompareAndSwap(int32(c.State), int32(kqreclaim.Reclaimed)) {
			a.forget(c.Client)
			victims = append(victims, victim{c.Client, c.State})
		}
	}
	return victims
}

// forget removes a client's connection from the account. The caller holds a.mu.
func (a *Account) forget(c *Client) {
	if _, ok := a.clients[c]; !ok {
		return
	}
	delete(a.clients, c)
	a.open--
	c.group.open--
	a.used[Connections] -= c.group.connectionMemory
}

// giveWay makes the clients give way. It must be called without a.mu.
func (a *Account) giveWay(victims []victim) {
	for _, v := range victims {
		a.onReclaimed(v.state)
		v.client.giveWay(v.state)
	}
}
