package kqgate_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// recordingQuarantine allows all calls and records what the gate tells it.
type recordingQuarantine struct {
	verdict kqquarantine.Verdict
	ends    []kqquarantine.End
	answers int
}

func (q *recordingQuarantine) Admit(*kqcall.Call, kqquarantine.Side) kqquarantine.Verdict {
	return q.verdict
}

func (q *recordingQuarantine) IsRefused(kqfingerprint.Fingerprint, time.Time) bool {
	return q.verdict == kqquarantine.Refuse
}

func (q *recordingQuarantine) BeginProbe(*kqcall.Call) bool { return true }

func (q *recordingQuarantine) EndProbe() {}

func (q *recordingQuarantine) Finish(*kqcall.Call, kqquarantine.Side) {}

func (q *recordingQuarantine) RecordEnd(_ kqfingerprint.Fingerprint, _ kqquarantine.Origin, e kqquarantine.End) {
	q.ends = append(q.ends, e)
}

func (q *recordingQuarantine) RecordAnswer(kqfingerprint.Fingerprint, time.Time, time.Time) {
	q.answers++
}

// Guards against blaming a request for an answer that broke, a reset or a failure of an upstream that lives on.
func TestOnlyTheEndOfAnUpstreamIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		handle    func(w http.ResponseWriter, server *httptest.Server)
		reason    kqcall.Reason
		certainty kqquarantine.Certainty
		ends      int
		answers   int
	}{
		"reset": {
			handle: func(w http.ResponseWriter, _ *httptest.Server) {
				conn, _, _ := w.(http.Hijacker).Hijack()
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			},
			reason: kqcall.Cut, certainty: kqquarantine.Possible, ends: 1,
		},
		"end": {
			handle: func(w http.ResponseWriter, server *httptest.Server) {
				_ = server.Listener.Close()
				conn, _, _ := w.(http.Hijacker).Hijack()
				_ = conn.Close()
			},
			reason: kqcall.UpstreamEnded, certainty: kqquarantine.Confirmed, ends: 1,
		},
		"failure": {handle: func(w http.ResponseWriter, _ *httptest.Server) { w.WriteHeader(http.StatusInternalServerError) }},
		"answer":  {handle: func(http.ResponseWriter, *httptest.Server) {}, answers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.handle(w, server) }))
			t.Cleanup(server.Close)
			q := &recordingQuarantine{}
			o, _ := kqgate.New(announceServer(t, server), kqgate.WithQuarantine("a", q)).Do(newCall("/" + name))
			if o.Reason != c.reason || len(q.ends) != c.ends || q.answers != c.answers {
				t.Fatalf("ended as %+v with %d ends and %d answers, want %q, %d and %d", o, len(q.ends), q.answers, c.reason, c.ends, c.answers)
			}
			if c.ends > 0 && (q.ends[0].Certainty != c.certainty || q.ends[0].Upstream.Node != "a") {
				t.Errorf("recorded %+v, want certainty %v", q.ends[0], c.certainty)
			}
		})
	}
}

// A gate stops a request that the entry does not know of yet.
func TestGateRefusesQuarantinedRequests(t *testing.T) {
	runs := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
	t.Cleanup(server.Close)
	g := kqgate.New(announceServer(t, server), kqgate.WithQuarantine("a", &recordingQuarantine{verdict: kqquarantine.Refuse}))
	if o, _ := g.Do(newCall("/")); o.Result != kqcall.NotRun || o.Reason != kqcall.Quarantined || o.RetryAfter == 0 || runs > 0 {
		t.Errorf("ended as %+v after %d runs, want not_run, quarantined, with a Retry-After", o, runs)
	}
}

// waitingQuarantine lets a call wait for as long as its function takes.
type waitingQuarantine struct {
	recordingQuarantine
	wait func()
}

func (q *waitingQuarantine) Admit(*kqcall.Call, kqquarantine.Side) kqquarantine.Verdict {
	q.wait()
	return kqquarantine.Allow
}

// Guards against a call that is sent to an upstream which said goodbye while the call waited for another of its request.
func TestUpstreamLeavesWhileASuspectWaits(t *testing.T) {
	runs := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
	t.Cleanup(server.Close)
	local := announceServer(t, server)
	goodbye := kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(server.Listener.Addr().String()), Slots: 1, Draining: true}
	q := &waitingQuarantine{wait: func() {
		if err := local.Announce(goodbye, time.Now()); err != nil {
			t.Error(err)
		}
	}}
	if o, _ := kqgate.New(local, kqgate.WithQuarantine("a", q)).Do(newCall("/")); o.Reason != kqcall.Draining || runs > 0 {
		t.Errorf("ended as %+v after %d runs, want draining", o, runs)
	}
}
