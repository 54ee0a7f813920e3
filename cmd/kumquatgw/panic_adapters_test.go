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
	// panickingDialect is the dialect of callPanicAdapter.
	panickingDialect struct{}

	// panickingStore is the store of storePanicAdapter.
	panickingStore struct {
		kqstore.Store

		mu sync.Mutex
		// seen holds the operations that have panicked.
		seen map[string]bool
	}
)

// connectCallPanicAdapter is a kqcommand.Connector for callPanicAdapter.
func connectCallPanicAdapter(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	return s, kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout)), kqnode.Adapter{Dialect: panickingDialect{}}, nil
}

// connectStorePanicAdapter is a kqcommand.Connector for storePanicAdapter.
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

func (panickingDialect) ReadCondition(*fasthttp.ResponseHeader) (c kqcall.Condition) { return c }
func (panickingDialect) ReadHealth(*fasthttp.ResponseHeader) kqcall.Health           { return kqcall.Health{} }
func (panickingDialect) Key(*fasthttp.RequestHeader) []byte                          { return nil }
func (panickingDialect) StripKey(*fasthttp.RequestHeader)                            {}
func (panickingDialect) ReadReport(*fasthttp.ResponseHeader) (r kqcall.ServerReport) { return r }

func (panickingDialect) RetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// panicOnFirst panics in the first call of an operation. A get of another key is another
// operation.
func (s *panickingStore) panicOnFirst(operation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen[operation] {
		s.seen[operation] = true
		panic("injected panic in " + operation)
	}
}

func (s *panickingStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	s.panicOnFirst("get " + key)
	return s.Store.Get(ctx, key)
}

func (s *panickingStore) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	s.panicOnFirst("watch")
	return s.Store.Watch(ctx, key, after, wait)
}

func (s *panickingStore) Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error) {
	s.panicOnFirst("grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *panickingStore) Renew(ctx context.Context, l kqstore.Lease) error {
	s.panicOnFirst("renew")
	return s.Store.Renew(ctx, l)
}
