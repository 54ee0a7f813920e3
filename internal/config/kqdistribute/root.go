package kqdistribute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqdelta"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	errBusy = errors.New("peer is over its send budget")
	errOld  = errors.New("peer does not hold the version")
)

type (
	push struct {
		Version kqname.ConfigVersion `cbor:"1,keyasint"`
		Digest  kqresource.Digest    `cbor:"2,keyasint"`
	}

	// rootRequest asks for the newest root, as a delta from the one held.
	rootRequest struct {
		Held kqresource.Digest `cbor:"1,keyasint"`
	}

	rootAnswer struct {
		Version kqname.ConfigVersion `cbor:"1,keyasint"`
		// Whole is the root's bytes, or Delta leads to it from the held one.
		Whole []byte         `cbor:"2,keyasint,omitempty"`
		Delta *kqdelta.Delta `cbor:"3,keyasint,omitempty"`
		// Busy is how long to stay away, in milliseconds; nothing else is set.
		Busy int64 `cbor:"4,keyasint,omitempty"`
	}

	nothing struct{}
)

func (d *Distributor) push(ctx context.Context, r record, from kqname.Address) {
	if ctx.Err() != nil {
		return
	}
	message := push{Version: r.root.Version, Digest: r.digest}
	for _, m := range d.overlay.Neighbours() {
		if m.Control == from || m.Config >= r.root.Version {
			continue
		}
		d.group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			// A peer that missed it hears of the version by heartbeat.
			_, _ = kqpeer.Call[push, nothing](ctx, d.client, m.Control, methodPush, message)
		})
	}
}

func (d *Distributor) answerPush(_ context.Context, from kqname.Node, q push) (nothing, error) {
	if m, ok := d.table.Find(from); ok {
		d.Heard(q.Version, m.Control)
	}
	return nothing{}, nil
}

func (d *Distributor) answerRoot(_ context.Context, _ kqname.Node, q rootRequest) (rootAnswer, error) {
	d.mu.Lock()
	held := d.held
	d.mu.Unlock()
	if len(held) == 0 {
		return rootAnswer{}, nil
	}
	next := held[len(held)-1]
	for _, old := range held {
		if old.digest == q.Held {
			delta := kqdelta.Between(old.root, next.root, old.digest, next.digest)
			return rootAnswer{Version: next.root.Version, Delta: &delta}, nil
		}
	}
	if wait := d.budget.Allow(time.Now()); wait > 0 {
		return rootAnswer{Busy: wait.Milliseconds() + 1}, nil
	}
	return rootAnswer{Version: next.root.Version, Whole: next.data}, nil
}

// pulling asks whoever said to hold a newer version, the highest first.
func (d *Distributor) pulling(ctx context.Context) {
	for ctx.Err() == nil {
		from, wait, ok := d.choose(time.Now())
		if ok {
			d.pullFrom(ctx, from)
			continue
		}
		var timeout <-chan time.Time
		if wait > 0 {
			timeout = time.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-d.pull:
		case <-timeout:
		}
	}
}

// choose returns the peer with the highest version above this node's, or how
// long until a busy one may be asked again.
func (d *Distributor) choose(now time.Time) (from kqname.Address, wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best kqname.ConfigVersion
	for to, h := range d.hints {
		switch {
		case h.version <= d.newest().root.Version:
			delete(d.hints, to)
		case h.after.After(now):
			if left := h.after.Sub(now); wait == 0 || left < wait {
				wait = left
			}
		case h.version > best:
			from, best, ok = to, h.version, true
		}
	}
	return from, wait, ok
}

func (d *Distributor) pullFrom(ctx context.Context, from kqname.Address) {
	d.mu.Lock()
	old := d.newest()
	d.mu.Unlock()
	asking, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	a, err := kqpeer.Call[rootRequest, rootAnswer](asking, d.client, from, methodRoot, rootRequest{Held: old.digest})
	var r record
	if err == nil {
		r, err = a.record(old)
	}
	if a.Delta != nil && err != nil {
		// A delta that does not lead to its root is of no use; the whole one is.
		d.failed(a.Version, err)
		if a, err = kqpeer.Call[rootRequest, rootAnswer](asking, d.client, from, methodRoot, rootRequest{}); err == nil {
			r, err = a.record(record{})
		}
	}
	d.mu.Lock()
	h := d.hints[from]
	delete(d.hints, from)
	if errors.Is(err, errBusy) {
		h.after = time.Now().Add(time.Duration(a.Busy) * time.Millisecond)
		d.hints[from] = h
	}
	d.mu.Unlock()
	if err == nil {
		d.hold(ctx, r, from)
	}
}

func (a rootAnswer) record(old record) (record, error) {
	switch {
	case a.Busy > 0:
		return record{}, errBusy
	case a.Delta != nil:
		root, data, err := a.Delta.Apply(old.root, old.digest)
		if err != nil {
			return record{}, fmt.Errorf("take root: %w", err)
		}
		return record{root: root, data: data, digest: a.Delta.Result}, nil
	case len(a.Whole) == 0:
		return record{}, errOld
	}
	var root kqresource.Root
	if err := kqresource.Decode(a.Whole, &root); err != nil {
		return record{}, fmt.Errorf("take root: %w", err)
	}
	return record{root: root, data: a.Whole, digest: kqresource.DigestOf(a.Whole)}, nil
}
