package kqentry

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Rates limits the calls of each workspace over all nodes together.
	Rates interface {
		// Admit counts a call of the workspace and reports whether its rate allows the call.
		// If not, retryAfter is when there may be room.
		Admit(w *kqdocument.Workspace, now time.Time) (retryAfter time.Duration, allowed bool)
		// Return takes back the admission of a call that did not run.
		Return(w kqname.Workspace, now time.Time)
	}

	// Freshness finds out whether the node's configuration is the newest.
	Freshness interface {
		// Confirm waits until the version in force is the newest that peers know who were
		// asked since the call arrived. It reports false if that takes too long or no peer
		// answers.
		Confirm(c *kqcall.Call) bool
	}
)

// WithRates limits the calls of workspaces over all nodes. Without it, no rate applies.
func WithRates(r Rates) Option { return func(e *Entry) { e.rates = r } }

// WithFreshness sets what is asked before a call is refused for an unknown API key. Without it,
// the node's configuration counts as the newest.
func WithFreshness(f Freshness) Option { return func(e *Entry) { e.freshness = f } }

// WithRevocation sets the function that reports whether the API key of a call has been removed
// since the call was accepted. It is asked before each attempt.
func WithRevocation(isRevoked func(*kqcall.Call) bool) Option {
	return func(e *Entry) { e.isRevoked = isRevoked }
}

// authenticate sets the call's workspace: that of the call that it is nested in, or that of its
// API key, which it removes. If the key is known only to a newer version than the given one, it
// returns the snapshot and the route by which the key is valid.
func (e *Entry) authenticate(f *callState, snapshot *kqsnapshot.Snapshot, route kqdocument.Route) (*kqsnapshot.Snapshot, kqdocument.Route, kqcall.Outcome) {
	c := &f.call
	if e.isNested(f) {
		e.inheritWorkspace(f, snapshot)
		kqcall.StripKey(e.dialect, &c.Request.Header)
		return snapshot, route, kqcall.OK()
	}
	key := kqcall.ReadKey(e.dialect, &c.Request.Header)
	w, id := snapshot.WorkspaceOfKey(key)
	if w == nil && len(key) > 0 && !route.AllowAnonymous && e.freshness != nil {
		// The wait depends on the call's deadline.
		found, _ := snapshot.Service(route.Choose(rand.Float64()))
		applyConfig(c, route, found, e.now())
		confirmed := e.freshness.Confirm(c)
		var refusal kqcall.Reason
		if snapshot, route, refusal = e.match(c, e.now()); refusal == kqcall.NoConfig {
			return snapshot, route, refuseSoon(refusal)
		} else if refusal != kqcall.NoReason {
			return snapshot, route, kqcall.Refuse(refusal)
		}
		f.version = snapshot.Version()
		if !snapshot.HasWorkspaces() {
			return snapshot, route, kqcall.OK()
		}
		if w, id = snapshot.WorkspaceOfKey(key); w == nil && !confirmed {
			c.KeyID = uint64(id)
			return snapshot, route, refuseSoon(kqcall.UnverifiedKey)
		}
	}
	kqcall.StripKey(e.dialect, &c.Request.Header)
	switch {
	case w != nil:
		f.workspace = w
		c.Workspace, c.WorkspaceClass, c.KeyID, c.ConfigVersion = w.Name, w.Class, uint64(id), snapshot.Version()
		return snapshot, route, kqcall.OK()
	case route.AllowAnonymous:
		return snapshot, route, kqcall.OK()
	case len(key) > 0:
		c.KeyID = uint64(id)
		return snapshot, route, kqcall.Refuse(kqcall.UnknownKey)
	case f.info.ParentID != "":
		// An upstream outlives the process beside it, which then does not know its calls.
		return snapshot, route, refuseSoon(kqcall.UnknownParent)
	default:
		return snapshot, route, kqcall.Refuse(kqcall.NoKey)
	}
}

// isNested reports whether the call is certainly made by a local upstream for a call that it
// is running.
func (e *Entry) isNested(f *callState) bool { return f.parent != nil || f.call.Depth > 0 }

// inheritWorkspace sets the workspace of a nested call.
func (e *Entry) inheritWorkspace(f *callState, snapshot *kqsnapshot.Snapshot) {
	c := &f.call
	if f.parent != nil {
		c.Workspace, c.WorkspaceClass = f.parent.Workspace, f.parent.WorkspaceClass
	} else if w := snapshot.Workspace(f.info.Workspace); w != nil {
		c.Workspace, c.WorkspaceClass = w.Name, w.Class
	}
}

// admitToRate counts the call towards the rate of its workspace and refuses it beyond the rate.
// Nested calls do not count.
func (e *Entry) admitToRate(f *callState, now time.Time) kqcall.Outcome {
	if f.workspace == nil || f.workspace.RatePerS <= 0 || e.rates == nil {
		return kqcall.OK()
	}
	retryAfter, allowed := e.rates.Admit(f.workspace, now)
	if !allowed {
		o := kqcall.Refuse(kqcall.OverRate)
		o.RetryAfter = retryAfter
		return o
	}
	f.admitted = true
	return kqcall.OK()
}

// returnAdmission takes back the admission of a call that did not run.
func (e *Entry) returnAdmission(f *callState) {
	if f.admitted {
		e.rates.Return(f.workspace.Name, e.now())
	}
}

// refuseSoon returns the outcome of a call that may be served if it is made again soon.
func refuseSoon(reason kqcall.Reason) kqcall.Outcome {
	o := kqcall.Refuse(reason)
	o.RetryAfter = defaultRetryAfter
	return o
}
