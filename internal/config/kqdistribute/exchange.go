package kqdistribute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/config/kqdelta"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	errBusy   = errors.New("peer is over its send budget")
	errNoRoot = errors.New("peer holds no root")
)

type (
	// push announces a version to a neighbour, with the digest of its root.
	push struct {
		Version kqname.ConfigVersion `cbor:"1,keyasint"`
		Digest  kqresource.Digest    `cbor:"2,keyasint"`
	}

	// rootRequest requests the newest root, if possible as a delta from the root with
	// the digest Held.
	rootRequest struct {
		Held kqresource.Digest `cbor:"1,keyasint"`
	}

	// rootAnswer is empty if the peer holds no root.
	rootAnswer struct {
		Version kqname.ConfigVersion `cbor:"1,keyasint"`
		// Whole is the encoded root; alternatively, Delta is its difference from the
		// root that the request named.
		Whole []byte         `cbor:"2,keyasint,omitempty"`
		Delta *kqdelta.Delta `cbor:"3,keyasint,omitempty"`
		// RetryAfterMS is set, and nothing else, if the peer is over its send budget: the
		// time in milliseconds after which to call it again.
		RetryAfterMS int64 `cbor:"4,keyasint,omitempty"`
	}

	empty struct{}
)

// push announces a version to the neighbours that have not reported to have applied it
// or a newer one, except the one it came from.
func (d *Distributor) push(ctx context.Context, r rootRecord, from kqname.Address) {
	if ctx.Err() != nil {
		return
	}
	message := push{Version: r.root.Version, Digest: r.digest}
	for _, m := range d.overlay.Neighbours() {
		if m.Control == from || m.AppliedVersion >= r.root.Version {
			continue
		}
		d.group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			// On failure, the peer learns of the version from a heartbeat.
			_, _ = kqrpc.Call[push, empty](ctx, d.client, m.Control, methodPush, message)
		})
	}
}

func (d *Distributor) handlePush(_ context.Context, from kqname.Node, q push) (empty, error) {
	if m, ok := d.table.Find(from); ok {
		d.addHint(m.Control, hint{version: q.Version, digest: q.Digest})
	}
	return empty{}, nil
}

// handleRoot answers with a delta from the root that the request names or, if this node
// does not hold that one, with the whole root. Only whole roots are subject to the
// budget.
func (d *Distributor) handleRoot(_ context.Context, _ kqname.Node, q rootRequest) (rootAnswer, error) {
	d.mu.Lock()
	roots := d.roots
	d.mu.Unlock()
	if len(roots) == 0 {
		return rootAnswer{}, nil
	}
	next := roots[len(roots)-1]
	for _, old := range roots {
		if old.digest == q.Held {
			delta := kqdelta.Between(old.root, next.root, old.digest, next.digest)
			return rootAnswer{Version: next.root.Version, Delta: &delta}, nil
		}
	}
	if wait := d.budget.Delay(time.Now()); wait > 0 {
		return rootAnswer{RetryAfterMS: wait.Milliseconds() + 1}, nil
	}
	return rootAnswer{Version: next.root.Version, Whole: next.data}, nil
}

// pullLoop pulls from the peers that reported a newer version, the highest first. A pull that
// takes longer than pullHedgeDelay goes on, and another peer is called beside it.
func (d *Distributor) pullLoop(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	supervisor := kqsupervisor.From(ctx)
	var highest kqname.ConfigVersion
	var hedgeAt time.Time
	for ended := make(chan struct{}, 1); ctx.Err() == nil; {
		now := time.Now()
		from, announced, wait, ok := d.choosePeer(now)
		switch {
		case ok && announced.version <= highest && now.Before(hedgeAt) && d.pullCount() > 0:
			wait = hedgeAt.Sub(now)
		case ok:
			highest, hedgeAt = announced.version, now.Add(pullHedgeDelay)
			d.beginPull(from)
			group.Go(func() {
				defer wake(ended)
				if !supervisor.RunRecovered("pull", func() { d.pullFrom(ctx, from, announced) }) {
					// The peer would otherwise count as being pulled from for ever.
					d.finishPull(from, announced, time.Time{})
				}
			})
			continue
		}
		var timeout <-chan time.Time
		if wait > 0 {
			timeout = time.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-d.pullWake:
		case <-ended:
		case <-timeout:
		}
	}
}

// choosePeer returns the peer with the highest version above this node's, a reader before
// others, and its hint. If there is none, ok is false and wait is the time until a busy peer may
// be called again, or 0 if none is busy. It leaves out peers that are being pulled from and, if
// maxPulls are, all but readers: slow peers must not keep the node from those that have the
// version for certain.
func (d *Distributor) choosePeer(now time.Time) (from kqname.Address, best hint, wait time.Duration, ok bool) {
	readers := d.readers()
	d.mu.Lock()
	defer d.mu.Unlock()
	readersOnly := len(d.pulling) >= maxPulls
	for peer, h := range d.hints {
		switch {
		case h.version <= d.newest().root.Version:
			delete(d.hints, peer)
		case d.pulling[peer], readersOnly && !readers[peer]:
		case h.retryAfter.After(now):
			if left := h.retryAfter.Sub(now); wait == 0 || left < wait {
				wait = left
			}
		case h.version > best.version, h.version == best.version && readers[peer] && !readers[from]:
			from, best, ok = peer, h, true
		}
	}
	return from, best, wait, ok
}

// readers returns the control addresses of the readers that are not dead. They hold every
// object of a version, and have the widest links.
func (d *Distributor) readers() map[kqname.Address]bool {
	readers := make(map[kqname.Address]bool)
	for _, m := range d.table.Members() {
		if m.Reader && m.State != kqmember.Dead {
			readers[m.Control] = true
		}
	}
	return readers
}

func (d *Distributor) beginPull(from kqname.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pulling[from] = true
}

func (d *Distributor) pullCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.pulling)
}

// pullFrom pulls the newest root of a peer, which has announced a version, and adds it.
func (d *Distributor) pullFrom(ctx context.Context, from kqname.Address, announced hint) {
	d.mu.Lock()
	old := d.newest()
	d.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	a, err := kqrpc.Call[rootRequest, rootAnswer](callCtx, d.client, from, methodRoot, rootRequest{Held: old.digest})
	var r rootRecord
	if err == nil {
		r, err = a.rootRecord(old)
	}
	if a.Delta != nil && err != nil {
		// The delta does not produce the stated root, so the whole root is pulled.
		d.onFailure(a.Version, err)
		if a, err = kqrpc.Call[rootRequest, rootAnswer](callCtx, d.client, from, methodRoot, rootRequest{}); err == nil {
			r, err = a.rootRecord(rootRecord{})
		}
	}
	var retryAfter time.Time
	if errors.Is(err, errBusy) {
		retryAfter = time.Now().Add(time.Duration(a.RetryAfterMS) * time.Millisecond)
	}
	d.finishPull(from, announced, retryAfter)
	if err != nil {
		d.lag.PullFailed()
		return
	}
	if err := announced.check(r); err != nil {
		d.onFailure(r.root.Version, err)
		return
	}
	d.addRoot(ctx, r, from)
}

// check returns kqresource.ErrDigestMismatch if a root has the announced version, but not
// the announced digest. Without it, a root that was changed on the way would be taken for the
// announced one, since a whole root brings no digest of its own.
func (h hint) check(r rootRecord) error {
	if r.root.Version != h.version || h.digest.IsZero() || r.digest == h.digest {
		return nil
	}
	return fmt.Errorf("pulled root %s, announced %s: %w", r.digest, h.digest, kqresource.ErrDigestMismatch)
}

// finishPull removes the hint that led to a pull or, if the peer was busy, keeps it until
// retryAfter. A newer hint that arrived during the pull stays: the answer may be older, and
// nothing else may tell of that version again.
func (d *Distributor) finishPull(from kqname.Address, announced hint, retryAfter time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pulling, from)
	h, ok := d.hints[from]
	switch {
	case !ok:
	case !retryAfter.IsZero():
		h.retryAfter = retryAfter
		d.hints[from] = h
	case h.version <= announced.version:
		delete(d.hints, from)
	}
}

// rootRecord returns the root of the answer, where old is the root that the request named.
func (a rootAnswer) rootRecord(old rootRecord) (rootRecord, error) {
	switch {
	case a.RetryAfterMS > 0:
		return rootRecord{}, errBusy
	case a.Delta != nil:
		root, data, err := a.Delta.Apply(old.root, old.digest)
		if err != nil {
			return rootRecord{}, fmt.Errorf("apply root delta: %w", err)
		}
		return rootRecord{root: root, data: data, digest: a.Delta.Result}, nil
	case len(a.Whole) == 0:
		return rootRecord{}, errNoRoot
	}
	var root kqresource.Root
	if err := kqresource.Decode(a.Whole, &root); err != nil {
		return rootRecord{}, fmt.Errorf("decode root: %w", err)
	}
	return rootRecord{root: root, data: a.Whole, digest: kqresource.DigestOf(a.Whole)}, nil
}
