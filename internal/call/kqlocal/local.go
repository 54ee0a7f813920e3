package kqlocal

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// MaxSlots bounds the slots that an upstream may announce.
const MaxSlots = 10000

// remember is how long after its goodbye an upstream's late announcements are
// known as such; a network delays them by seconds at most. For as long it is known that
// an upstream was left out.
const remember = time.Minute

// attentive is the time between two looks for announcements that have lapsed. What a
// look comes later by, the node was held up itself, and may not have read what waits.
// Silence counts for this long between two looks even so: on a node that is held up
// again and again, an upstream that is gone would else never lapse.
const attentive = 250 * time.Millisecond

// withdrawnFor is how long an upstream that could not be connected to is left out at
// least, though it announces itself, and withdrawnLongest how long if that goes on: one
// that says that it is well and takes no connections would come and go all the time, and
// each change is told to all nodes.
const (
	withdrawnFor     = time.Second
	withdrawnLongest = 8 * time.Second
)

// ErrAnnouncement tells that an announcement cannot be accepted.
var ErrAnnouncement = errors.New("announcement refused")

type (
	// Announcement is what an upstream posts to its node, and renews.
	Announcement struct {
		Service  kqname.Service         `json:"service"`
		Version  kqname.UpstreamVersion `json:"version"`
		Address  kqname.Address         `json:"address"`
		Slots    int                    `json:"slots"`
		Draining bool                   `json:"draining,omitempty"`
		// Instance tells this upstream from others that had its address.
		Instance kqname.Instance `json:"instance,omitempty"`
		// Born is when the upstream started, in milliseconds of its own clock, and
		// Sequence numbers what it has said since, so that what arrives late is
		// known as such. Both 0 take announcements in the order of their arrival.
		Born     int64  `json:"born,omitempty"`
		Sequence uint64 `json:"sequence,omitempty"`
		// Cold is for how much longer the upstream is slow after its start.
		Cold time.Duration `json:"cold,omitempty"`
		// Gone tells that the upstream takes no more work at all; only Instance
		// and, where it is known, Born go with it.
		Gone bool `json:"gone,omitempty"`
	}

	// Upstreams holds the announcements in force. It is safe for concurrent use.
	Upstreams struct {
		ttl     time.Duration
		changed func([]kqmember.Upstream)

		mu   sync.Mutex
		held map[kqname.Address]entry
		// swept is when announcements were last looked at.
		swept time.Time
		// ended are the upstreams that have said goodbye. What they said before may
		// arrive after it.
		ended map[kqname.Instance]ending
	}

	// ending tells that every start of an upstream up to born is over; said is
	// when this node learnt of it.
	ending struct {
		born int64
		said time.Time
	}

	entry struct {
		Announcement
		first, renewed time.Time
		// cold is how long after first the upstream said to be slow.
		cold time.Duration
		withdrawal
	}

	// withdrawal tells whether an upstream is left out, since when it was last, and for
	// how long at least.
	withdrawal struct {
		withdrawn bool
		since     time.Time
		atLeast   time.Duration
	}
)

// New returns an empty set whose entries last for ttl unless renewed; changed
// is told of each change that other nodes must hear of.
func New(ttl time.Duration, changed func([]kqmember.Upstream)) *Upstreams {
	return &Upstreams{ttl: ttl, changed: changed, held: make(map[kqname.Address]entry), ended: make(map[kqname.Instance]ending)}
}

// Announce takes in an announcement, first or renewed.
//
// What an earlier start of the upstream, or the same one earlier, said and comes
// late is passed over without an error: taken in, it would bring back an upstream
// that has left, and calls would meet a closed port or a stranger.
func (u *Upstreams) Announce(a Announcement, now time.Time) error {
	if a.Gone {
		u.leave(a, now)
		return nil
	}
	if !kqname.Valid(a.Service) || !kqname.Valid(a.Version) || a.Address == "" || a.Slots < 1 || a.Slots > MaxSlots {
		return fmt.Errorf("announce %q %q at %q with %d slots: %w", a.Service, a.Version, a.Address, a.Slots, ErrAnnouncement)
	}
	if ignoresDrain {
		a.Draining = false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	old, ok := u.held[a.Address]
	if e, over := u.ended[a.Instance]; over && a.Born <= e.born || ok && a.before(old.Announcement) {
		return nil
	}
	next := entry{Announcement: a, first: now, renewed: now, cold: a.Cold}
	if ok && old.Service == a.Service && old.Version == a.Version && old.Instance == a.Instance && old.Born == a.Born {
		next.first, next.cold, next.withdrawal = old.first, old.cold, old.withdrawal
		next.withdrawn = old.withdrawn && now.Sub(old.since) < old.atLeast
	}
	u.held[a.Address] = next
	if !ok || !old.same(a) || next.withdrawn != old.withdrawn {
		u.tell()
	}
	return nil
}

// Withdraw leaves out an upstream that takes no connections, until it announces itself
// again. Its announcement would last for seconds, in which every node's calls meet it.
func (u *Upstreams) Withdraw(address kqname.Address, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, ok := u.held[address]
	if !ok || e.withdrawn {
		return
	}
	if now.Sub(e.since) > remember {
		e.atLeast = 0
	}
	e.withdrawal = withdrawal{withdrawn: true, since: now, atLeast: min(max(2*e.atLeast, withdrawnFor), withdrawnLongest)}
	u.held[address] = e
	u.tell()
}

// leave takes out an upstream that has said goodbye, and its earlier starts: the
// start that says goodbye may be one that no announcement has told of.
func (u *Upstreams) leave(a Announcement, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	born, gone := a.Born, false
	for address, e := range u.held {
		if e.Instance != a.Instance || a.Born != 0 && a.Born < e.Born {
			continue
		}
		born, gone = max(born, e.Born), true
		delete(u.held, address)
	}
	if gone {
		u.tell()
	}
	u.ended[a.Instance] = ending{born: max(born, u.ended[a.Instance].born), said: now}
}

// Left notes that an upstream has said goodbye to an earlier process of this node.
func (u *Upstreams) Left(instance kqname.Instance, born int64, now time.Time) {
	u.leave(Announcement{Instance: instance, Born: born}, now)
}

// Born returns when the upstream of that name started, by its own clock, or 0.
func (u *Upstreams) Born(instance kqname.Instance) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range u.held {
		if e.Instance == instance {
			return e.Born
		}
	}
	return 0
}

// before reports whether an announcement was made before another one of the
// same address.
func (a Announcement) before(held Announcement) bool {
	if a.Born != held.Born {
		return a.Born < held.Born
	}
	return a.Sequence != 0 && a.Instance == held.Instance && a.Sequence < held.Sequence
}

// same reports whether two announcements tell other nodes the same.
func (a Announcement) same(other Announcement) bool {
	a.Sequence, other.Sequence = 0, 0
	a.Cold, other.Cold = 0, 0
	return a == other
}

// Sweep forgets upstreams that have not renewed in time. Where it was not called for
// long, this node itself was away, and the announcements that came meanwhile may wait to
// be read: that time is held against no upstream.
func (u *Upstreams) Sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	gone := false
	away := time.Duration(0)
	if !u.swept.IsZero() {
		away = max(now.Sub(u.swept)-attentive, 0)
	}
	u.swept = now
	for instance, e := range u.ended {
		if now.Sub(e.said) > remember {
			delete(u.ended, instance)
		}
	}
	for address, e := range u.held {
		if e.renewed = e.renewed.Add(away); e.renewed.After(now) {
			e.renewed = now
		}
		if now.Sub(e.renewed) > u.ttl {
			delete(u.held, address)
			gone = true
			continue
		}
		u.held[address] = e
	}
	if gone {
		u.tell()
	}
}

// Find returns the upstream for a service and version; an empty version
// accepts any. Of several, one that does not drain and came last is returned: a
// replaced upstream's record lasts until its time has run out.
func (u *Upstreams) Find(service kqname.Service, version kqname.UpstreamVersion) (Announcement, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best entry
	for _, e := range u.held {
		if e.Service == service && (version == "" || e.Version == version) && (best.Slots == 0 || e.before(best)) {
			best = e
		}
	}
	return best.Announcement, best.Slots > 0
}

func (e entry) before(other entry) bool {
	if e.Draining != other.Draining {
		return other.Draining
	}
	return e.first.After(other.first)
}

func (u *Upstreams) tell() {
	list := make([]kqmember.Upstream, 0, len(u.held))
	for _, e := range u.held {
		if e.withdrawn {
			continue
		}
		next := kqmember.Upstream{Service: e.Service, Version: e.Version, Slots: e.Slots, Draining: e.Draining, Started: e.first}
		if e.Instance != "" {
			next.Warm = e.first.Add(e.cold)
		}
		list = append(list, next)
	}
	u.changed(list)
}
