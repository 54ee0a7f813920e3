package kqlocal

import "time"

// confirmation tells whether an upstream is known to live that has started before this process.
// Its announcement may have been made before it left, and after the end of all processes that
// were told, nobody may remember that. A second announcement confirms it.
type confirmation struct {
	unconfirmed bool
	// firstHeard is when the upstream first announced itself to this process.
	firstHeard time.Time
	// held is set while the upstream is not used, since it is unconfirmed.
	held bool
}

// WithConfirmation limits the use of an upstream that has started before this process, at the
// given time, and announced itself to it only once: it ends two announcement intervals after
// the process's start, by when a live upstream has announced itself twice. onHeld is called
// with each upstream whose use ends so. It is called with the set's lock held and must not call
// the set.
func WithConfirmation(started time.Time, interval time.Duration, onHeld func(Announcement)) Option {
	return func(u *Upstreams) {
		u.started, u.announceInterval, u.unconfirmedUntil, u.onHeld = started, interval, started.Add(2*interval), onHeld
	}
}

// confirm returns the confirmation of an announcement that replaces old, if ok. Announcements
// that were delayed together arrive together, so that only one that arrives some time after the
// first confirms it. The caller holds u.mu.
func (u *Upstreams) confirm(a Announcement, old registration, ok bool, now time.Time) confirmation {
	if !u.mayBeLate(a, now) {
		return confirmation{}
	}
	if !ok || old.recovered || old.Instance != a.Instance || old.StartedMS != a.StartedMS {
		return confirmation{unconfirmed: true, firstHeard: now, held: !now.Before(u.unconfirmedUntil)}
	}
	isRepeated := a.Sequence != 0 && a.Sequence == old.Sequence
	if old.unconfirmed && (isRepeated || now.Sub(old.firstHeard) < u.announceInterval/2) {
		return old.confirmation
	}
	return confirmation{}
}

// mayBeLate reports whether an announcement may have been made before this process started.
func (u *Upstreams) mayBeLate(a Announcement, now time.Time) bool {
	return u.announceInterval > 0 && a.StartedMS <= u.started.UnixMilli() && now.Sub(u.started) <= historyTTL
}

// holdUnconfirmed ends the use of an upstream whose time for a second announcement has passed,
// and reports whether it did. The caller holds u.mu.
func (u *Upstreams) holdUnconfirmed(e *registration, now time.Time) bool {
	if !e.unconfirmed || e.held || now.Before(u.unconfirmedUntil) {
		return false
	}
	e.held = true
	u.onHeld(e.Announcement)
	return true
}
