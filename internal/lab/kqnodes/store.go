package kqnodes

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// meteredStore counts the calls that nodes make to the platform's service, including
// failed ones, and the bytes of their keys, values and lease IDs. The protocol's framing is
// not counted, which favours strategies that make many calls.
type meteredStore struct {
	kqstore.Store
	calls, bytes atomic.Uint64
}

// Get implements kqstore.Store.
func (m *meteredStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	e, err := m.Store.Get(ctx, key)
	m.count(len(key) + len(e.Key) + len(e.Value))
	return e, err
}

// Put implements kqstore.Store.
func (m *meteredStore) Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	m.count(len(key) + len(value) + len(lease))
	return m.Store.Put(ctx, key, value, lease)
}

// Swap implements kqstore.Store.
func (m *meteredStore) Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	m.count(len(key) + len(value) + len(lease))
	return m.Store.Swap(ctx, key, expected, value, lease)
}

// Delete implements kqstore.Store.
func (m *meteredStore) Delete(ctx context.Context, key string, expected kqstore.Revision) error {
	m.count(len(key))
	return m.Store.Delete(ctx, key, expected)
}

// Grant implements kqstore.Store.
func (m *meteredStore) Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error) {
	l, err := m.Store.Grant(ctx, ttl)
	m.count(len(l))
	return l, err
}

// Renew implements kqstore.Store.
func (m *meteredStore) Renew(ctx context.Context, lease kqstore.Lease) error {
	m.count(len(lease))
	return m.Store.Renew(ctx, lease)
}

// Watch implements kqstore.Store.
func (m *meteredStore) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	m.count(len(key))
	e, err := m.Store.Watch(ctx, key, after, wait)
	m.bytes.Add(uint64(len(e.Key) + len(e.Value)))
	return e, err
}

func (m *meteredStore) count(bytes int) {
	m.calls.Add(1)
	m.bytes.Add(uint64(bytes))
}
