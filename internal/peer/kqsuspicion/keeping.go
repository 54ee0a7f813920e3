package kqsuspicion

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

const (
	prefix = "kumquatgw/quarantine/"
	// keepPeriod is the pause between two attempts to write, each of at most maxWrites
	// requests.
	keepPeriod = time.Second
	maxWrites  = 4
	// maxUnstored bounds the requests that wait to be written while the store is away.
	maxUnstored = 256
	// maxLease is the longest lease that every platform grants.
	maxLease = 10 * time.Minute
)

type (
	// Store is the part of the store that keeps refused requests.
	Store interface {
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
	}

	// Initial returns what the store held when the process started.
	Initial interface {
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}
)

// keep has a refused request written to the store.
func (q *Suspicions) keep(s kqquarantine.Suspect) {
	if q.store == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.unstored) < maxUnstored {
		q.unstored[s.Request] = s
	}
}

// forget has a request that this node has written taken back. The key's value becomes empty,
// since the key ends with its lease.
func (q *Suspicions) forget(r kqfingerprint.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.unstored, r)
	if q.stored[r] {
		delete(q.stored, r)
		q.unstored[r] = kqquarantine.Suspect{Request: r}
	}
}

// RunKeeping writes refused requests to the store until ctx ends. Requests that cannot be written
// are tried again.
func (q *Suspicions) RunKeeping(ctx context.Context) {
	for ctx.Err() == nil {
		q.writeUnstored(ctx)
		kqsleep.For(ctx, keepPeriod)
	}
}

func (q *Suspicions) writeUnstored(ctx context.Context) {
	q.mu.Lock()
	list := make([]kqquarantine.Suspect, 0, maxWrites)
	for _, s := range q.unstored {
		if len(list) < maxWrites {
			list = append(list, s)
		}
	}
	q.mu.Unlock()
	for _, s := range list {
		if q.write(ctx, s) != nil {
			return
		}
		q.mu.Lock()
		delete(q.unstored, s.Request)
		if len(s.Ends) > 0 && len(q.stored) < maxUnstored {
			q.stored[s.Request] = true
		}
		q.mu.Unlock()
	}
}

// write writes a request under a lease, which ends when the request is forgotten.
func (q *Suspicions) write(ctx context.Context, s kqquarantine.Suspect) error {
	now := time.Now()
	var list suspectList
	for _, e := range s.Ends {
		list.Ends = append(list.Ends, endNews(s.Request, s.Origin, e, now).Ends...)
	}
	value, err := cbor.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode refused request: %w", err)
	}
	lease, err := q.store.Grant(ctx, min(q.duration, maxLease))
	if err != nil {
		return fmt.Errorf("store refused request: %w", err)
	}
	if _, err := q.store.Put(ctx, prefix+s.Request.String(), value, lease); err != nil {
		return fmt.Errorf("store refused request: %w", err)
	}
	return nil
}

// readStore records the requests that the store holds. What cannot be read is skipped: peers
// may know it.
func (q *Suspicions) readStore(ctx context.Context) {
	if q.initial == nil {
		return
	}
	l, err := q.initial.List(ctx, prefix)
	if err != nil {
		return
	}
	now := time.Now()
	for _, entry := range l.Entries {
		var list suspectList
		if cbor.Unmarshal(entry.Value, &list) != nil {
			continue
		}
		for _, e := range list.Ends {
			q.merge(e, now)
		}
	}
}
