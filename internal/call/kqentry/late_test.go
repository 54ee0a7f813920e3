package kqentry_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against calls of a workspace that are sent although no upstream can answer them before
// their deadline: the only gate expects 400 ms of work, and the route allows 150 ms.
func TestCallThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	sent := 0
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent++
		id, _, _ := strings.Cut(r.Header.Get("Kq-Call"), ";")
		w.Header().Set(kqcall.HeaderID, id)
		w.Header().Set("Kq-Load", "2;0;6;400000;0;400000;0")
		w.Header().Set(kqcall.HeaderResult, string(kqcall.Answered))
	}))
	t.Cleanup(gate.Close)
	digest := sha256.Sum256([]byte("key"))
	root, objects, err := kqresource.Split(kqdocument.Document{
		Teams:      []kqdocument.Team{{Name: "t"}},
		Services:   []kqdocument.Service{{Name: "store", Team: "t"}},
		Routes:     []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store", TimeoutMS: 150}},
		Workspaces: []kqdocument.Workspace{{Name: "atlas", KeyDigests: []string{hex.EncodeToString(digest[:])}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	root.Version = 1
	snapshot, _, err := kqsnapshot.Build(root, objects, []kqname.Host{"store"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	upstream := kqmember.Candidate{
		Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6, WarmFrom: time.Unix(1, 0)},
		Node:     "gate-0", Gate: kqname.Address(gate.Listener.Addr().String()),
	}
	e := kqentry.New("self", fixedConfig{snapshot}, fakeDirectory{upstream}, noLocal{})
	call := func() *fasthttp.Response {
		var ctx fasthttp.RequestCtx
		ctx.Init(&fasthttp.Request{}, nil, nil)
		ctx.Request.SetRequestURI("/x")
		ctx.Request.Header.SetHost("store")
		ctx.Request.Header.Set("Authorization", "Bearer key")
		e.ServeOutside(&ctx)
		return &ctx.Response
	}
	call()
	refused := call()
	if sent != 1 || refused.StatusCode() != http.StatusServiceUnavailable || len(refused.Header.Peek("Retry-After")) == 0 {
		t.Errorf("%d calls were sent, the second was answered %d with Retry-After %q; want 1, 503 and a delay", sent, refused.StatusCode(), refused.Header.Peek("Retry-After"))
	}
}
