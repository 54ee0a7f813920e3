package kqexplain_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/run/kqexplain"
)

// recorded holds the log lines of seven calls, r1 to r7, on nodes a to c, and three
// lines that must be skipped: an empty one, one of another program, and a truncated
// one.
const recorded = `
{"time":"2026-01-02T03:04:05.100Z","node":"a","part":"config","event":"applied","msg":"config: Version is in force.","version":7}
{"time":"2026-01-02T03:04:05.200Z","node":"a","part":"member","event":"member","member":"b","state":"alive","msg":"member: Member changed."}
{"time":"2026-01-02T03:04:06.000Z","node":"b","part":"gate","event":"gated","id":"r1","result":"not_run","reason":"queue_full","running":6,"waiting":9,"slots":6,"left_ms":900}
{"time":"2026-01-02T03:04:06.002Z","node":"a","part":"call","event":"ended","id":"r1","result":"not_run","reason":"queue_full","status":503,"route":"browse","service":"front","version":7,"took_ms":3,"left_ms":897,"retry_after_ms":250,"tries":[{"to":"b","result":"not_run","reason":"queue_full","running":6,"waiting":9,"slots":6,"left_ms":900,"took_ms":2}]}
{"time":"2026-01-02T03:04:07.000Z","node":"a","part":"call","event":"ended","id":"r2","result":"unknown","reason":"cut","status":504,"route":"order","service":"front","version":7,"took_ms":40,"left_ms":800,"tries":[{"to":"b","result":"unknown","reason":"cut","left_ms":840,"took_ms":39}]}
{"time":"2026-01-02T03:04:08.000Z","node":"a","part":"member","event":"members","records":1,"dead":["b"],"msg":"member: Members changed."}
{"time":"2026-01-02T03:04:09.000Z","node":"c","part":"call","event":"ended","id":"r3.1","result":"not_run","reason":"late","status":503,"service":"wood","tries":[{"to":"d"}]}
{"time":"2026-01-02T03:04:09.001Z","node":"a","part":"call","event":"ended","id":"r3","result":"answered","status":500,"service":"front","took_ms":90,"tries":[{"to":"c","result":"answered","status":500,"took_ms":89}]}
{"time":"2026-01-02T03:04:09.100Z","node":"a","part":"call","event":"ended","id":"r4","result":"not_run","reason":"limited","status":503,"service":"wood","retry_after_ms":400,"tries":[{"to":"d","result":"not_run","reason":"limited"}]}
{"time":"2026-01-02T03:04:09.200Z","node":"a","part":"call","event":"ended","id":"r5","result":"not_run","reason":"quarantined","status":503,"service":"wood","request":"330c"}
{"time":"2026-01-02T03:04:09.300Z","node":"a","part":"call","event":"ended","id":"r6","result":"not_run","reason":"unknown_key","status":401,"route":"browse","version":7,"key":"00c0ffee00c0ffee"}
{"time":"2026-01-02T03:04:09.400Z","node":"a","part":"call","event":"ended","id":"r7","result":"not_run","reason":"key_revoked","status":401,"workspace":"acme","version":7,"key":"00c0ffee00c0ffee","took_ms":80,"tries":[{"to":"b","result":"not_run","reason":"key_revoked"}]}
{"time":"2026-01-02T03:04:09.250Z","node":"c","part":"rates","event":"workspace_limited","workspace":"tenant","coordinator":true,"rate_per_s":60,"burst":30,"share":0.4,"arrived_per_s":150.5}
{"time":"2026-01-02T03:04:09.300Z","node":"a","part":"rates","event":"workspace_limited","workspace":"tenant","coordinator":false,"rate_per_s":60,"burst":30,"share":0.4}
{"time":"2026-01-02T03:04:09.400Z","node":"a","part":"call","event":"ended","id":"r8","result":"not_run","reason":"over_rate","status":429,"workspace":"tenant","retry_after_ms":900}
{"time":"2026-01-02T03:04:09.450Z","node":"a","part":"rates","event":"own_portion","shards":4,"nodes":89}
{"time":"2026-01-02T03:04:09.500Z","node":"a","part":"call","event":"ended","id":"r9","result":"not_run","reason":"over_rate","status":429,"workspace":"other"}
{"time":"2026-01-02T03:04:09.300Z","node":"d","part":"gate","event":"gated","id":"r10","result":"not_run","reason":"late","workspace":"atlas","running":18,"waiting":40,"slots":18,"waited_ms":900,"expected_ms":345}
{"time":"2026-01-02T03:04:09.301Z","node":"a","part":"call","event":"ended","id":"r10","result":"not_run","reason":"late","status":503,"service":"wood","workspace":"atlas","tries":[{"to":"d","result":"not_run","reason":"late"}]}
{"time":"2026-01-02T03:04:09.400Z","node":"a","part":"call","event":"ended","id":"r11","result":"not_run","reason":"late","status":503,"service":"wood","workspace":"atlas","left_ms":40}
words of somebody else
{"time":"2026-01-02T03:04:10.000Z","node":"a","part":"call","event":"en`

func readRecorded(t *testing.T) *kqexplain.Log {
	t.Helper()
	var l kqexplain.Log
	if err := l.Read("recorded", strings.NewReader(recorded)); err != nil {
		t.Fatal(err)
	}
	return &l
}

// The logs alone must show an on-call engineer the cause of a refusal, of a cut
// connection, and of a failure that comes from a call that the call caused.
func TestExplainStatesCause(t *testing.T) {
	for id, want := range map[string][]string{
		"r1":  {"Cause: overload. 1 gates of front had no room", "caller told to retry after 250 ms", "b alive for", "version in force for"},
		"r4":  {"Cause: limit. The last of 1 gates of wood, d,", "caller told to retry after 400 ms"},
		"r5":  {"Cause: quarantine. Upstreams ended under request 330c"},
		"r6":  {"Cause: unknown key.", "begins with 00c0ffee00c0ffee by version 7 at a"},
		"r7":  {"Cause: key revoked. The key of workspace acme", "valid by version 7", "at the gate of b for 80 ms"},
		"r8":  {`Cause: rate. Workspace "tenant"`, "60 a second and 30 at once", "for 100ms, a share of 0.4", "coordinator c had counted 150.5 calls a second"},
		"r9":  {`Cause: rate. Workspace "other"`, "by its own portion, one of 89"},
		"r10": {`d gate: r10 for workspace "atlas"`, "queued for 900 ms beside 40 waiting calls, with 18 of 18 slots in use and recent calls of 345 ms"},
		"r11": {`The entry refused it for workspace "atlas" unsent with 40 ms left`},
		"r2":  {"Cause: the upstream. The last attempt, to b, ended as cut", "b was marked", "marked dead at 03:04:08.000"},
		"r3":  {"Cause: a call that it caused. r3.1 ended as not_run, late"},
	} {
		lines, err := readRecorded(t).Explain(id)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(strings.Join(lines, "\n"), "that node was marked", "b was marked")
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("explanation of %s lacks %q:\n%s", id, w, text)
			}
		}
	}
}

// A file may hold lines of other programs, and ends in the middle of a line if its
// process was killed. Such lines must be skipped and counted, not end the reading.
func TestForeignAndTruncatedLinesAreSkipped(t *testing.T) {
	l := readRecorded(t)
	if got := l.Skipped(); len(got) != 1 || !strings.Contains(got[0], "recorded: 3 lines") {
		t.Errorf("skipped lines are reported as %q", got)
	}
	if _, err := l.Explain("nobody"); !errors.Is(err, kqexplain.ErrNotFound) {
		t.Errorf("unknown request: error %v, want ErrNotFound", err)
	}
}
