package kqlocal

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// hasLeft reports whether the start that announces itself has said goodbye. The very start that
// did is remembered for as long as it announces itself: it may say in its answers only that it
// leaves. An earlier one may be a later start by a clock that was set back.
// The caller holds u.mu.
func (u *Upstreams) hasLeft(a Announcement, now time.Time) bool {
	e, left := u.goodbyes[a.Instance]
	if !left || a.StartedMS > e.startMS {
		return false
	}
	if a.StartedMS != 0 && a.StartedMS == e.startMS {
		e.receivedAt = now
		u.goodbyes[a.Instance] = e
	}
	return true
}

// Leave treats an upstream that has said in its answers that it leaves like one that has said
// goodbye. One that announces no instance counts as draining for historyTTL.
func (u *Upstreams) Leave(a Announcement, now time.Time) {
	if a.Instance != "" {
		u.recordGoodbye(a, now)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	e, ok := u.byAddress[a.Address]
	if !ok || e.Instance != "" || e.Service != a.Service || e.Version != a.Version {
		return
	}
	e.leavingUntil, e.Draining = now.Add(historyTTL), true
	u.byAddress[a.Address] = e
	u.publish()
}

// recordGoodbye removes an upstream that has said goodbye, including its earlier starts,
// and remembers the goodbye. The start that says goodbye may be one whose announcements
// never arrived.
func (u *Upstreams) recordGoodbye(a Announcement, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	startMS, removed := a.StartedMS, false
	for address, e := range u.byAddress {
		if e.Instance != a.Instance || a.StartedMS != 0 && a.StartedMS < e.StartedMS {
			continue
		}
		startMS, removed = max(startMS, e.StartedMS), true
		delete(u.byAddress, address)
	}
	if removed {
		u.publish()
	}
	u.goodbyes[a.Instance] = goodbye{startMS: max(startMS, u.goodbyes[a.Instance].startMS), receivedAt: now}
}

// ApplyDeparture treats an upstream's departure, which an earlier process of this node
// learned of, as a goodbye received now.
func (u *Upstreams) ApplyDeparture(instance kqname.Instance, startMS int64, now time.Time) {
	u.recordGoodbye(Announcement{Instance: instance, StartedMS: startMS}, now)
}
