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
	}

	// Upstreams holds the announcements in force. It is safe for concurrent use.
	Upstreams struct {
		ttl     time.Duration
		changed func([]kqmember.Upstream)

		mu   sync.Mutex
		held map[kqname.Address]entry
	}

	entry struct {
		Announcement
		first, renewed time.Time
	}
)

// New returns an empty set whose entries last for ttl unless renewed; changed
// is told of each change that other nodes must hear of.
func New(ttl time.Duration, changed func([]kqmember.Upstream)) *Upstreams {
	return &Upstreams{ttl: ttl, changed: changed, held: make(map[kqname.Address]entry)}
}

// Announce takes in an announcement, first or renewed.
func (u *Upstreams) Announce(a Announcement, now time.Time) error {
	if !kqname.Valid(a.Service) || !kqname.Valid(a.Version) || a.Address == "" || a.Slots < 1 || a.Slots > MaxSlots {
		return fmt.Errorf("announce %q %q at %q with %d slots: %w", a.Service, a.Version, a.Address, a.Slots, ErrAnnouncement)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	old, ok := u.held[a.Address]
	next := entry{Announcement: a, first: now, renewed: now}
	if ok && old.Service == a.Service && old.Version == a.Version {
		next.first = old.first
	}
	u.held[a.Address] = next
	if !ok || old.Announcement != a {
		u.tell()
	}
	return nil
}

// Sweep forgets upstreams that have not renewed in time.
func (u *Upstreams) Sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	gone := false
	for address, e := range u.held {
		if now.Sub(e.renewed) > u.ttl {
			delete(u.held, address)
			gone = true
		}
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
		list = append(list, kqmember.Upstream{Service: e.Service, Version: e.Version, Slots: e.Slots, Draining: e.Draining, Started: e.first})
	}
	u.changed(list)
}
