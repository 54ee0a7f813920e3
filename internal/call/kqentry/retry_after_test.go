package kqentry_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// refusingLocal is a node that refuses all calls for a reason, without a time to come back.
type refusingLocal kqcall.Reason

func (r refusingLocal) Do(*kqcall.Call) (kqcall.Outcome, kqcall.Load) {
	return kqcall.Refuse(kqcall.Reason(r)), kqcall.Load{}
}

// Guards against callers that are not told when to come back although no upstream takes calls, since
// a gate gives no time, and against callers that wait although another upstream may serve them.
func TestRefusalsWithoutUpstreamNameATimeToComeBack(t *testing.T) {
	root, objects, err := kqresource.Split(kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "t"}},
		Services: []kqdocument.Service{{Name: "store", Team: "t"}},
		Routes:   []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	root.Version = 1
	snapshot, _, err := kqsnapshot.Build(root, objects, []kqname.Host{"store"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	upstream := kqmember.Candidate{Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6}, Node: "self"}
	for _, reason := range kqcall.Reasons() {
		e := kqentry.New("self", fixedConfig{snapshot}, fakeDirectory{upstream}, refusingLocal(reason))
		var ctx fasthttp.RequestCtx
		ctx.Init(&fasthttp.Request{}, nil, nil)
		ctx.Request.SetRequestURI("/x")
		ctx.Request.Header.SetHost("store")
		e.ServeOutside(&ctx)
		after := string(ctx.Response.Header.Peek("Retry-After"))
		mustWait := slices.Contains([]kqcall.Reason{kqcall.Draining, kqcall.RolledBack, kqcall.Evacuated, kqcall.NoUpstream}, reason)
		if mustWait != (strings.TrimLeft(after, "0") != "") || mustWait && ctx.Response.StatusCode() != http.StatusServiceUnavailable {
			t.Errorf("refused as %q: status %d, Retry-After %q, must wait: %t", reason, ctx.Response.StatusCode(), after, mustWait)
		}
	}
}
