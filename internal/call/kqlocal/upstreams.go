package kqlocal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// MaxSlots bounds the slots that an upstream may announce.
const MaxSlots = 10000

const (
	// MaxClockLead bounds how far an upstream's clock may be ahead of this node's. Later
	// announcements of the upstream could not replace one with a start beyond it.
	MaxClockLead = time.Hour
	// maxWarmUp bounds the cold start that an upstream may announce.
	maxWarmUp = time.Hour
	// maxSequenceLag is how many announcements a late one may lag behind the latest. A
	// sequence number that is further ahead is not one of the same writer.
	maxSequenceLag = 1 << 20
)

// historyTTL is how long a goodbye is remembered, so that the upstream's earlier
// announcements are recognized as late if they arrive after it; a network delays them by
// seconds at most. A withdrawal is remembered for as long, so that the next one lasts
// longer.
const historyTTL = time.Minute

// sweepInterval is the expected time between two calls of Sweep. If a sweep comes later,
// this node itself was paused and may not have read waiting announcements yet, so the
// excess does not count as an upstream's silence. The interval itself always counts:
// otherwise a dead upstream would never expire on a node that is paused again and again.
const sweepInterval = 250 * time.Millisecond

// recoldMargin is by how much an announced cold start must end later than the known one to
// be a new one: announcements take their time to arrive.
const recoldMargin = 500 * time.Millisecond

// minWithdrawal is how long an upstream that could not be connected to is left out of the
// published list at first, even if it keeps announcing itself; each further withdrawal
// doubles that up to maxWithdrawal. Otherwise an upstream that announces itself but accepts
// no connections would be added and removed all the time, and each change is sent to all
// nodes.
const (
	minWithdrawal = time.Second
	maxWithdrawal = 8 * time.Second
)

// ErrInvalidAnnouncement means that an announcement is refused because it is invalid.
var ErrInvalidAnnouncement = errors.New("announcement refused")

type (
	// Announcement is what an upstream posts to its node, first, as a renewal and as a
	// goodbye.
	Announcement struct {
		Service  kqname.Service         `json:"service"`
		Version  kqname.UpstreamVersion `json:"version"`
		Address  kqname.Address         `json:"address"`
		Slots    int                    `json:"slots"`
		Draining bool                   `json:"draining,omitempty"`
		// Instance distinguishes this upstream from others that have had its address.
		Instance kqname.Instance `json:"instance,omitempty"`
		// StartedMS is when the upstream started, in milliseconds of its own clock, and
		// Sequence numbers its announcements since then, so that late ones are
		// recognized. If both are 0, announcements apply in the order of their arrival,
		// but none does for historyTTL after a goodbye of the same instance.
		StartedMS int64  `json:"born,omitempty"`
		Sequence  uint64 `json:"sequence,omitempty"`
		// WarmUpLeft is for how much longer the upstream is cold: slow after its start or,
		// at any later time, again.
		WarmUpLeft time.Duration `json:"cold,omitempty"`
		// Gone means that the upstream takes no more work at all. Only Instance and, if
		// known, StartedMS are set with it.
		Gone bool `json:"gone,omitempty"`
	}

	// Upstreams holds the current announcements. It is safe for concurrent use.
	Upstreams struct {
		ttl time.Duration
		// recoveredTTL is how long an upstream is used that was recovered and has not
		// announced itself.
		recoveredTTL time.Duration
		onChange     func([]kqmember.Upstream)
		// started is when this process started, and announceInterval about how often an
		// upstream announces itself, or 0 if no confirmation is needed.
		started          time.Time
		announceInterval time.Duration
		onHeld           func(Announcement)

		mu        sync.Mutex
		byAddress map[kqname.Address]registration
		// lastSweep is when Sweep last ran, zero before its first run.
		lastSweep time.Time
		// goodbyes holds the latest goodbye of each instance for historyTTL, since earlier
		// announcements of the same upstream may arrive after it.
		goodbyes map[kqname.Instance]goodbye
		// unconfirmedUntil is until when upstreams are used that are unconfirmed, moved
		// forward by the time for which this node was paused since.
		unconfirmedUntil time.Time
	}

	// goodbye means that every start of an upstream up to startMS has ended. receivedAt
	// is when this node learned of it.
	goodbye struct {
		startMS    int64
		receivedAt time.Time
	}

	// registration is an upstream's latest announcement with the node's state about it.
	registration struct {
		Announcement
		// lastRenewed is when the announcement last arrived, moved forward by the time for
		// which this node was paused since. firstSeen is when the first one arrived, or the
		// first that announced the latest of several cold starts.
		firstSeen, lastRenewed time.Time
		// leavingUntil is until when the upstream counts as draining whatever it announces,
		// because it has said in its answers that it leaves. Only one that announces no
		// instance has it, since another in its place could not be told from it.
		leavingUntil time.Time
		// limit is the published limit.
		limit
		// recovered is set until the upstream itself has announced itself to this process.
		recovered bool
		// coldFor is how long after firstSeen the upstream is cold, according to that
		// announcement.
		coldFor time.Duration
		withdrawal
		confirmation
	}

	// Option configures Upstreams.
	Option func(*Upstreams)

	// withdrawal is whether an upstream is left out of the published list, when it was
	// last withdrawn, and for how long at least.
	withdrawal struct {
		withdrawn   bool
		withdrawnAt time.Time
		minDuration time.Duration
	}
)

// WithRecoveredTTL sets how long an upstream is used after Recover without an announcement of
// its own; the default is the ttl of announcements. It is meant to be shorter: an upstream
// that has left, which nobody remembers, announces itself no more.
func WithRecoveredTTL(ttl time.Duration) Option {
	return func(u *Upstreams) { u.recoveredTTL = min(ttl, u.ttl) }
}

// New returns an empty set whose announcements expire after ttl unless renewed. At each
// change that other nodes must learn of, onChange receives all upstreams that are not
// withdrawn. It is called with the set's lock held and must not call the set.
func New(ttl time.Duration, onChange func([]kqmember.Upstream), options ...Option) *Upstreams {
	u := &Upstreams{ttl: ttl, recoveredTTL: ttl, onChange: onChange, byAddress: make(map[kqname.Address]registration), goodbyes: make(map[kqname.Instance]goodbye)}
	for _, o := range options {
		o(u)
	}
	return u
}

// Announce applies an announcement, first or renewed.
//
// A late announcement is ignored without an error: one by a start that has said goodbye,
// by an earlier start than the one registered at its address, or by the same start with a
// lower sequence number. Applying it could bring back an upstream that has left, and calls
// would reach a closed port or another program.
func (u *Upstreams) Announce(a Announcement, now time.Time) error {
	if a.Gone {
		u.recordGoodbye(a, now)
		return nil
	}
	if err := a.check(now); err != nil {
		return fmt.Errorf("announce %.64q %.64q at %.64q: %w: %w", string(a.Service), string(a.Version), string(a.Address), err, ErrInvalidAnnouncement)
	}
	if ignoresDraining {
		a.Draining = false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	old, ok := u.byAddress[a.Address]
	if u.hasLeft(a, now) || ok && !old.recovered && a.isOlderThan(old.Announcement) {
		return nil
	}
	if ok && old.Instance == a.Instance && now.Before(old.leavingUntil) {
		a.Draining = true
	}
	next := registration{Announcement: a, firstSeen: now, lastRenewed: now, coldFor: a.WarmUpLeft}
	coldAgain := false
	if ok && old.Service == a.Service && old.Version == a.Version && old.Instance == a.Instance && old.StartedMS == a.StartedMS {
		if coldAgain = next.warmFrom().Sub(old.warmFrom()) > recoldMargin && a.WarmUpLeft > 0; !coldAgain {
			next.firstSeen, next.coldFor = old.firstSeen, old.coldFor
		}
		next.withdrawal, next.leavingUntil, next.limit = old.withdrawal, old.leavingUntil, old.limit
		next.withdrawn = old.withdrawn && now.Sub(old.withdrawnAt) < old.minDuration
	}
	next.confirmation = u.confirm(a, old, ok, now)
	u.byAddress[a.Address] = next
	if !ok || coldAgain || !old.sameForPeers(a) || next.withdrawn != old.withdrawn || next.held != old.held {
		u.publish()
	}
	return nil
}

// check returns an error if the announcement names no upstream that calls can be sent to, or
// states times that no running upstream can have.
func (a Announcement) check(now time.Time) error {
	switch {
	case !kqname.Usable(a.Service):
		return errors.New("service is not usable")
	case !kqname.Usable(a.Version):
		return errors.New("version is not usable")
	case !kqname.UsableAddress(a.Address):
		return errors.New("address is not usable")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return fmt.Errorf("%d slots, not 1 to %d", a.Slots, MaxSlots)
	case a.WarmUpLeft < 0 || a.WarmUpLeft > maxWarmUp:
		return fmt.Errorf("cold start of %v, not up to %v", a.WarmUpLeft, maxWarmUp)
	case a.StartedMS > now.Add(MaxClockLead).UnixMilli():
		return fmt.Errorf("start at %d ms is to come", a.StartedMS)
	default:
		return nil
	}
}

// Recover registers an upstream as an earlier process of this node knew it, unless an
// upstream at its address has announced itself since or it has said goodbye. Any later
// announcement at its address replaces it, also one by a clock that is behind. It is removed
// unless it announces itself soon after now.
func (u *Upstreams) Recover(a Announcement, now time.Time) error {
	u.mu.Lock()
	_, known := u.byAddress[a.Address]
	u.mu.Unlock()
	if known {
		return nil
	}
	if err := u.Announce(a, now); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if e, ok := u.byAddress[a.Address]; ok && e.Announcement == a {
		e.recovered = true
		u.byAddress[a.Address] = e
	}
	return nil
}

// Announcements returns the latest announcement of each upstream that is in use and does not
// drain, by address.
func (u *Upstreams) Announcements() []Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []Announcement
	for _, e := range u.byAddress {
		if !e.Draining && !e.held {
			list = append(list, e.Announcement)
		}
	}
	slices.SortFunc(list, func(a, b Announcement) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// Withdraw leaves an upstream that accepts no connections out of the published list, until
// it announces itself again after the withdrawal's minimum duration, or another start or
// upstream announces itself at its address. Its announcement would otherwise stay valid for
// seconds, in which calls of every node would fail.
func (u *Upstreams) Withdraw(address kqname.Address, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, ok := u.byAddress[address]
	if !ok || e.withdrawn {
		return
	}
	if now.Sub(e.withdrawnAt) > historyTTL {
		e.minDuration = 0
	}
	e.withdrawal = withdrawal{withdrawn: true, withdrawnAt: now, minDuration: min(max(2*e.minDuration, minWithdrawal), maxWithdrawal)}
	u.byAddress[address] = e
	u.publish()
}

// Knows reports whether an upstream of that instance is registered or has said goodbye.
func (u *Upstreams) Knows(instance kqname.Instance) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, left := u.goodbyes[instance]; left {
		return true
	}
	for _, e := range u.byAddress {
		if e.Instance == instance {
			return true
		}
	}
	return false
}

// StartedMS returns when the upstream of that instance started, by its own clock in
// milliseconds, or 0 if it is unknown.
func (u *Upstreams) StartedMS(instance kqname.Instance) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range u.byAddress {
		if e.Instance == instance {
			return e.StartedMS
		}
	}
	return 0
}

// isOlderThan reports whether the announcement was made before the held one of the same
// address.
func (a Announcement) isOlderThan(held Announcement) bool {
	if a.StartedMS != held.StartedMS {
		return a.StartedMS < held.StartedMS
	}
	return a.Sequence != 0 && a.Instance == held.Instance && a.Sequence < held.Sequence && held.Sequence-a.Sequence <= maxSequenceLag
}

// StartID identifies the start of the upstream that made the announcement among all at this
// node. An upstream that does not announce when it started has the same ID at its address after
// a restart, which is odd; all others are even.
func (a Announcement) StartID() uint64 {
	id := xxhash.Sum64String(string(a.Address) + " " + string(a.Instance) + " " + strconv.FormatInt(a.StartedMS, 10))
	if a.StartedMS == 0 {
		return id | 1
	}
	return id &^ 1
}

// sameForPeers reports whether two announcements make no difference to other nodes.
func (a Announcement) sameForPeers(other Announcement) bool {
	a.Sequence, other.Sequence = 0, 0
	a.WarmUpLeft, other.WarmUpLeft = 0, 0
	return a == other
}

// Sweep removes upstreams whose announcements have expired, ends the use of those that are not
// confirmed in time, and forgets goodbyes older than
// historyTTL. It is called every sweepInterval. If it is called later, this node itself was
// paused, and announcements that arrived meanwhile may still wait to be read; the time
// beyond the interval does not count against any upstream. Sweep returns the removed ones.
func (u *Upstreams) Sweep(now time.Time) []Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	var removed []Announcement
	pause := time.Duration(0)
	if !u.lastSweep.IsZero() {
		pause = max(now.Sub(u.lastSweep)-sweepInterval, 0)
	}
	u.lastSweep = now
	u.unconfirmedUntil = u.unconfirmedUntil.Add(pause)
	changed := false
	for instance, e := range u.goodbyes {
		if now.Sub(e.receivedAt) > historyTTL {
			delete(u.goodbyes, instance)
		}
	}
	for address, e := range u.byAddress {
		if e.lastRenewed = e.lastRenewed.Add(pause); e.lastRenewed.After(now) {
			e.lastRenewed = now
		}
		if now.Sub(e.lastRenewed) > u.ttlOf(e) {
			delete(u.byAddress, address)
			removed = append(removed, e.Announcement)
			continue
		}
		changed = u.holdUnconfirmed(&e, now) || changed
		u.byAddress[address] = e
	}
	if len(removed) > 0 || changed {
		u.publish()
	}
	return removed
}

func (u *Upstreams) ttlOf(e registration) time.Duration {
	if e.recovered {
		return u.recoveredTTL
	}
	return u.ttl
}

// Find returns the upstream of a service and version; an empty version accepts any. Of
// several, it prefers one that does not drain, then one that is confirmed, then the one first
// seen last, since the announcement of a replaced upstream stays until it expires. It may return
// an upstream that is withdrawn.
func (u *Upstreams) Find(service kqname.Service, version kqname.UpstreamVersion) (Announcement, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best registration
	for _, e := range u.byAddress {
		if !e.held && e.Service == service && (version == "" || e.Version == version) && (best.Slots == 0 || e.isPreferredTo(best)) {
			best = e
		}
	}
	return best.Announcement, best.Slots > 0
}

// ColdUntil returns when the announced cold start of the upstream at the address ends, or the
// zero time if no upstream is known there.
func (u *Upstreams) ColdUntil(address kqname.Address) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, ok := u.byAddress[address]
	if !ok {
		return time.Time{}
	}
	return e.warmFrom()
}

// warmFrom returns when the upstream's announced cold start ends.
func (e registration) warmFrom() time.Time { return e.firstSeen.Add(e.coldFor) }

// isPreferredTo reports whether Find returns e rather than other.
func (e registration) isPreferredTo(other registration) bool {
	if e.Draining != other.Draining {
		return other.Draining
	}
	if e.unconfirmed != other.unconfirmed {
		return other.unconfirmed
	}
	return e.firstSeen.After(other.firstSeen)
}

// publish passes the upstreams that are in use and not withdrawn to onChange. The caller holds
// u.mu.
func (u *Upstreams) publish() {
	list := make([]kqmember.Upstream, 0, len(u.byAddress))
	for _, e := range u.byAddress {
		if e.withdrawn || e.held {
			continue
		}
		next := kqmember.Upstream{Service: e.Service, Version: e.Version, Slots: e.Slots, Draining: e.Draining, FirstAnnounced: e.firstSeen, Limited: e.limited, Limit: e.perSecond, Start: e.StartID()}
		if e.Instance != "" {
			next.WarmFrom = e.warmFrom()
		}
		list = append(list, next)
	}
	u.onChange(list)
}
