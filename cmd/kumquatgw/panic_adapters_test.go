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
	// callPanicAdapter names an adapter that panics in the step that a call's header
	// names.
	callPanicAdapter = "fragile-calls"
	// storePanicAdapter names an adapter whose store panics in the first get of each key
	// and in the first watch, grant and renewal.
	storePanicAdapter = "fragile-parts"
	// panicHeader names the step of the call that panics.
	panicHeader = "Panic-In"
)

type (
	panickingDialect struct{}

	panickingStore struct {
		kqstore.Store

		mu   sync.Mutex
		seen map[string]bool
	}
)

// connectCallPanicAdapter implements kqcommand.Connector.
func connectCallPanicAdapter(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	return s, kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout)), kqnode.Adapter{Dialect: panickingDialect{}}, nil
}

// connectStorePanicAdapter implements kqcommand.Connector.
func connectStorePanicAdapter(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	store := kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout))
	return s, &panickingStore{Store: store, seen: make(map[string]bool)}, kqnode.Adapter{}, nil
}

// panicAt panics if the header names the step.
func panicAt(h *fasthttp.RequestHeader, step string) {
	if string(h.Peek(panicHeader)) == step {
		panic("injected panic in " + step)
	}
}

func (panickingDialect) Accept(h *fasthttp.RequestHeader) kqcall.CallInfo {
	panicAt(h, "accept")
	return kqcall.CallInfo{}
}

func (panickingDialect) WriteUpstreamHeaders(c *kqcall.Call, _ time.Duration) {
	panicAt(&c.Request.Header, "write_headers")
}

func (panickingDialect) IsAnswer(c *kqcall.Call) bool {
	panicAt(&c.Request.Header, "is_answer")
	return true
}

func (panickingDialect) ReadVerdict(c *kqcall.Call) kqcall.Verdict {
	panicAt(&c.Request.Header, "read_verdict")
	return kqcall.Verdict{}
}

func (panickingDialect) RetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// panicOnFirst panics in the first call with that verb, which may include a key.
func (f *panickingStore) panicOnFirst(verb string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.seen[verb] {
		f.seen[verb] = true
		panic("injected panic in " + verb)
	}
}

func (f *panickingStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	f.panicOnFirst("get " + key)
	return f.Store.Get(ctx, key)
}

func (f *panickingStore) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	f.panicOnFirst("watch")
	return f.Store.Watch(ctx, key, after, wait)
}

func (f *panickingStore) Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error) {
	f.panicOnFirst("grant")
	return f.Store.Grant(ctx, ttl)
}

func (f *panickingStore) Renew(ctx context.Context, l kqstore.Lease) error {
	f.panicOnFirst("renew")
	return f.Store.Renew(ctx, l)
}
