package kqcall_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// Guards against a gate that lets calls through without a bound, since its node has started
// beside a cold upstream and does not have the service's configuration yet.
func TestGateLearnsTheColdStartFromTheCall(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, cold := range []kqcall.ColdStart{{}, {Rate: 14, Duration: 3 * time.Second}, {Rate: 0.5}} {
		sent := &kqcall.Call{ID: "1", Service: "store", Deadline: now.Add(time.Second), Cold: cold, Request: &fasthttp.Request{}, Response: &fasthttp.Response{}}
		sent.Write(now)
		read, err := kqcall.Read(sent.Request, sent.Response, now)
		if err != nil {
			t.Fatal(err)
		}
		if read.Cold != cold {
			t.Errorf("%+v is read as %+v", cold, read.Cold)
		}
		read.WriteUpstreamHeaders(now)
		if read.Request.Header.Peek("Kq-Cold") != nil {
			t.Error("the upstream gets the header")
		}
	}
}

// Guards against a response of a peer that states no outcome, or one that does not exist, and is
// taken for an answer or for a call that has not run.
func TestUnreadableOutcomeIsUnknown(t *testing.T) {
	for _, text := range []string{"", "ANSWERED", "answered, not_run", "not run"} {
		c := &kqcall.Call{Response: &fasthttp.Response{}}
		c.Response.Header.Set(kqcall.HeaderResult, text)
		c.Response.Header.Set(kqcall.HeaderReason, "whatever")
		if o := c.Outcome(); o != kqcall.UnknownOutcome(kqcall.MalformedResponse) {
			t.Errorf("%q is read as %+v", text, o)
		}
	}
}
