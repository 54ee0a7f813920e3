package main_test

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
)

const (
	// fragileCalls names an adapter that panics where a call's header tells it to.
	fragileCalls = "fragile-calls"
	// fragileParts names one that panics in the first call of each kind to the store.
	fragileParts = "fragile-parts"
	// fragileHeader names the step of its call that panics.
	fragileHeader = "Panic-In"
)

type (
	fragileDialect struct{}

	fragileStore struct {
		kqstore.Store

		mu   sync.Mutex
		seen map[string]bool
	}
)

func joinFragileCalls(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	return s, kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout)), kqnode.Adapter{Dialect: fragileDialect{}}, nil
}

func joinFragileParts(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	store := kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout))
	return s, &fragileStore{Store: store, seen: make(map[string]bool)}, kqnode.Adapter{}, nil
}

func breaks(h *fasthttp.RequestHeader, step string) {
	if string(h.Peek(fragileHeader)) == step {
		panic("fragile in " + step)
	}
}

func (fragileDialect) Accept(h *fasthttp.RequestHeader) kqcall.Told {
	breaks(h, "accept")
	return kqcall.Told{}
}

func (fragileDialect) Tell(c *kqcall.Call, _ time.Duration) { breaks(&c.Request.Header, "tell") }

func (fragileDialect) Belongs(c *kqcall.Call) bool {
	breaks(&c.Request.Header, "belongs")
	return true
}

func (fragileDialect) Judge(c *kqcall.Call) kqcall.Verdict {
	breaks(&c.Request.Header, "judge")
	return kqcall.Verdict{}
}

func (fragileDialect) RetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func (f *fragileStore) first(verb string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.seen[verb] {
		f.seen[verb] = true
		panic("fragile in " + verb)
	}
}

func (f *fragileStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	f.first("get " + key)
	return f.Store.Get(ctx, key)
}

func (f *fragileStore) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	f.first("watch")
	return f.Store.Watch(ctx, key, after, wait)
}

func (f *fragileStore) Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error) {
	f.first("grant")
	return f.Store.Grant(ctx, ttl)
}

func (f *fragileStore) Renew(ctx context.Context, l kqstore.Lease) error {
	f.first("renew")
	return f.Store.Renew(ctx, l)
}
