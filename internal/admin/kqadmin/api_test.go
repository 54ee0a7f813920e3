package kqadmin_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqadmin"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	newRoute    = `{"request_id":"r-1","reason":"sale","item":{"team":"shop","host":"store","path_prefix":"/sale","service":"store"}}`
	testTimeout = 10 * time.Second
)

// Requests without a valid token or permission, and malformed, oversized, stale
// or invalid ones, must be refused with their stable code, be counted by it, and
// leave the document in force unchanged.
func TestInvalidRequestsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, operator, method, path, body string
		status                             int
		code                               kqproblem.Code
		pointer                            string
	}{
		{"no token", "", "PUT", "/v1/routes/sale", newRoute, 401, kqproblem.NoToken, ""},
		{"unknown token", "kq_unknown", "PUT", "/v1/routes/sale", newRoute, 401, kqproblem.BadToken, ""},
		{"another team's item", "fatou", "PUT", "/v1/routes/store", strings.Replace(newRoute, `"shop"`, `"press"`, 1), 403, kqproblem.Forbidden, "/routes/store"},
		{"new item owned by another team", "fatou", "PUT", "/v1/routes/sale", newRoute, 403, kqproblem.Forbidden, "/routes/sale"},
		{"route on another team's host", "fatou", "PUT", "/v1/routes/sale", strings.Replace(newRoute, `"shop"`, `"press"`, 1), 403, kqproblem.Forbidden, "/routes/sale"},
		{"empty document that removes all teams' items", "fatou", "PUT", "/v1/document", `{"base":1,"document":{}}`, 403, kqproblem.Forbidden, "/teams/press"},
		{"another team's service removed", "fatou", "DELETE", "/v1/services/store", "", 403, kqproblem.Forbidden, "/services/store"},
		{"rollout of another team's service", "fatou", "PUT", "/v1/rollouts/x", `{"item":{"team":"press","service":"store","from":"v1","to":"v2","start":"2030-01-01T00:00:00Z","deadline":"2030-01-02T00:00:00Z","policy":"careful"}}`, 403, kqproblem.Forbidden, "/rollouts/x"},
		{"a member's own quota", "mika", "PUT", "/v1/teams/shop", `{"item":{"max_routes":100}}`, 403, kqproblem.Forbidden, "/teams/shop"},
		{"a workspace by a member", "mika", "PUT", "/v1/workspaces/acme", `{"item":{}}`, 403, kqproblem.Forbidden, "/workspaces/acme"},
		{"a malformed key digest", "ana", "PUT", "/v1/workspaces/acme", `{"item":{"key_digests":["key"]}}`, 422, kqproblem.Invalid, "/item/key_digests/0"},
		{"an evacuation by a member", "mika", "PUT", "/v1/evacuations/south", `{"item":{}}`, 403, kqproblem.Forbidden, "/evacuations/south"},
		{"2 MB document", "ana", "PUT", "/v1/document", `{"base":1,"document":{"teams":[{"name":"` + strings.Repeat("a", 2<<20) + `"}]}}`, 413, kqproblem.TooLarge, ""},
		{"route to a missing service", "mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, `"service":"store"`, `"service":"gone"`, 1), 422, kqproblem.Invalid, "/item/service"},
		{"removal of a service that a route uses", "ana", "DELETE", "/v1/services/store", "", 422, kqproblem.Invalid, "/document/routes/1/service"},
		{"more routes than the quota", "mika", "PUT", "/v1/document", `{"base":1,"document":` + overQuotaDocument() + `}`, 422, kqproblem.OverQuota, "/document/teams/0/max_routes"},
		{"stale version", "mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, "{", `{"base":0,`, 1), 409, kqproblem.StaleVersion, ""},
		{"malformed JSON", "mika", "PUT", "/v1/routes/sale", `{"item":`, 400, kqproblem.Malformed, ""},
		{"unknown field", "mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, "path_prefix", "path_perfix", 1), 400, kqproblem.Malformed, ""},
		{"document without base", "ana", "PUT", "/v1/document", `{"document":{}}`, 400, kqproblem.Malformed, ""},
		{"path traversal, encoded", "ana", "PUT", "/v1/routes/..%2f..%2fetc%2fpasswd", newRoute, 400, kqproblem.Malformed, ""},
		{"path traversal", "ana", "GET", "/v1/services/../../etc/passwd", "", 404, kqproblem.NotFound, ""},
		{"large headers", "ana", "GET", "/v1/fleet?" + strings.Repeat("x", 9<<10), "", 431, kqproblem.HeadersTooLarge, ""},
		{"removal of an unknown item", "mika", "DELETE", "/v1/routes/none", "", 404, kqproblem.NotFound, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t)
			status, answer := s.request(c.operator, c.method, c.path, c.body)
			if status != c.status || answer["code"] != string(c.code) {
				t.Errorf("response %d %v, want %d %s", status, answer, c.status, c.code)
			}
			if c.pointer != "" && !strings.Contains(fmt.Sprint(answer["errors"]), "pointer:"+c.pointer+"]") {
				t.Errorf("errors %v do not point at %s", answer["errors"], c.pointer)
			}
			if s.counter.refusedCount(c.code) != 1 {
				t.Errorf("counted %d times as %s, want 1", s.counter.refusedCount(c.code), c.code)
			}
			if v := s.version(); v != 1 {
				t.Errorf("version %d is in force, want 1", v)
			}
		})
	}
}

// overQuotaDocument returns a document with one route more than the team's quota.
func overQuotaDocument() string {
	d := initialDocument()
	for i := range 3 {
		r := d.Routes[0]
		r.Name, r.PathPrefix = kqname.Route(fmt.Sprintf("extra-%d", i)), fmt.Sprintf("/%d", i)
		d.Routes = append(d.Routes, r)
	}
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// A script retries a change whose response was lost, and later sends a different
// change with the same request ID by mistake. The retry must return the first
// result without a second commit; the different change must be refused. The history
// must show the commit and the audit log the refusal, and no token may be logged.
func TestRetriedRequestIsCommittedOnce(t *testing.T) {
	s := newTestServer(t)
	for range 2 {
		status, answer := s.request("mika", "PUT", "/v1/routes/sale", newRoute)
		if status != 200 || answer["version"] != 2.0 || answer["committed"] != true {
			t.Fatalf("response %d %v, want version 2", status, answer)
		}
	}
	if status, answer := s.request("ana", "PUT", "/v1/teams/other", `{"item":{}}`); status != 200 {
		t.Fatalf("put of teams.other: response %d %v, want 200", status, answer)
	}
	status, answer := s.request("mika", "PUT", "/v1/routes/sale", newRoute)
	if status != 200 || answer["version"] != 2.0 {
		t.Errorf("retry after another change: response %d %v, want version 2", status, answer)
	}
	status, answer = s.request("mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, "/sale", "/other", 1))
	if status != 409 || answer["code"] != string(kqproblem.RequestIDReused) || s.counter.refusedCount(kqproblem.RequestIDReused) != 1 {
		t.Errorf("same request ID with other content: response %d %v, want %s counted once", status, answer, kqproblem.RequestIDReused)
	}
	if v := s.version(); v != 3 {
		t.Errorf("version %d is in force, want 3", v)
	}
	_, answer = s.request("ana", "GET", "/v1/requests/r-1", "")
	if answer["status"] != "committed" || answer["version"] != 2.0 {
		t.Errorf("outcome of the request is %v, want committed as version 2", answer)
	}
	_, answer = s.request("ana", "GET", "/v1/history", "")
	if text := fmt.Sprint(answer); !strings.Contains(text, "author:mika") || !strings.Contains(text, "reason:sale") {
		t.Errorf("history lacks the author or the reason: %v", answer)
	}
	_, answer = s.request("ana", "GET", "/v1/audit", "")
	if text := fmt.Sprint(answer); !strings.Contains(text, "refused:request_id_reused") {
		t.Errorf("audit log lacks the refusal: %v", answer)
	}
	for name, token := range s.tokens {
		if strings.Contains(s.log.String(), token) {
			t.Errorf("%s's token is in the log", name)
		}
	}
}

// An attacker guesses tokens. After 10 unknown tokens from one source, further
// requests from it must be throttled, even with a valid token. Each unknown token
// must be logged as a refusal, without the token itself.
func TestFailedTokensAreThrottled(t *testing.T) {
	s := newTestServer(t, kqadmin.WithNow(func() time.Time { return time.Unix(1_000_000, 0) }))
	for range 10 {
		if status, _ := s.request("kq_guess", "GET", "/v1/fleet", ""); status != 401 {
			t.Fatalf("status %d, want 401", status)
		}
	}
	status, answer := s.request("ana", "GET", "/v1/fleet", "")
	if status != 429 || s.counter.refusedCount(kqproblem.TooManyFailures) != 1 {
		t.Errorf("response %d %v, want 429 counted once", status, answer)
	}
	if logged := strings.Count(s.log.String(), "bad_token"); logged != 10 || strings.Contains(s.log.String(), "kq_guess") {
		t.Errorf("the log has %d refusals, want 10 without the token:\n%s", logged, s.log.String())
	}
}

// A connection that never finishes its headers, as in a slowloris attack, must
// be refused with 408 after the read timeout, and later requests must be served.
func TestSlowHeadersTimeOut(t *testing.T) {
	s := newTestServer(t, kqadmin.WithReadTimeout(50*time.Millisecond))
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "GET /v1/fleet HTTP/1.1\r\nHost: a\r\nX-Slow: ")
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout || s.counter.refusedCount(kqproblem.TooSlow) != 1 {
		t.Errorf("status %d, counted %d; want 408 counted once", response.StatusCode, s.counter.refusedCount(kqproblem.TooSlow))
	}
	if status, _ := s.request("ana", "GET", "/v1/fleet", ""); status != 200 {
		t.Errorf("another request got %d, want 200", status)
	}
}

// Clients are generated from the OpenAPI document, so they fail where the served
// operations differ from it. Every described GET but that of one rollout, of which
// the test document has none, must be served with all required fields. A method
// that is not described must get 404.
func TestOpenAPIMatchesServedOperations(t *testing.T) {
	s := newTestServer(t)
	status, description := s.request("", "GET", "/v1/openapi.json", "")
	if status != 200 || description["openapi"] != "3.1.0" {
		t.Fatalf("get OpenAPI document: status %d", status)
	}
	paths := description["paths"].(map[string]any)
	fill := strings.NewReplacer("{version}", "1", "/requests/{name}", "/requests/first", "/fleet/{name}", "/fleet/one", "/services/{name}", "/services/store",
		"/routes/{name}", "/routes/store", "/policies/{name}", "/policies/careful", "/teams/{name}", "/teams/shop", "/evacuations/{name}", "/evacuations/north", "/workspaces/{name}", "/workspaces/acme")
	requested := 0
	for path, methods := range paths {
		for method, operation := range methods.(map[string]any) {
			if method != "get" || path == "/v1/rollouts/{name}" {
				continue
			}
			requested++
			status, answer := s.request("ana", "GET", fill.Replace(path), "")
			if status != 200 {
				t.Errorf("GET %s is described but returned %d", path, status)
			}
			for _, field := range required(operation) {
				if _, ok := answer[field]; !ok {
					t.Errorf("GET %s lacks %q in %v", path, field, answer)
				}
			}
		}
		if status, answer := s.request("ana", "PATCH", path, ""); status != 404 {
			t.Errorf("PATCH %s is not described but returned %d %v, want 404", path, status, answer)
		}
	}
	if requested < 14 {
		t.Errorf("%d operations were requested, want at least 14", requested)
	}
}

// required returns the required fields of a described operation's response.
func required(operation any) []string {
	var o struct {
		Responses map[string]struct {
			Content map[string]struct {
				Schema struct{ Required []string }
			}
		}
	}
	data, _ := json.Marshal(operation)
	_ = json.Unmarshal(data, &o)
	return o.Responses["200"].Content["application/json"].Schema.Required
}
