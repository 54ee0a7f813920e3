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
	newRoute = `{"request_id":"r-1","reason":"sale","item":{"team":"shop","host":"store","path_prefix":"/sale","service":"store"}}`
	patience = 10 * time.Second
)

// Operators, their scripts and strangers send what must not be obeyed: without
// a token, for another team, malformed, too large, stale, or twice. Each is
// told why by a stable code, each is counted by it, and the document in force
// stays as it was.
func TestRefused(t *testing.T) {
	for _, c := range []struct {
		name, operator, method, path, body string
		status                             int
		code                               kqproblem.Code
		pointer                            string
	}{
		{"no token", "", "PUT", "/v1/routes/sale", newRoute, 401, kqproblem.NoToken, ""},
		{"unknown token", "kq_unknown", "PUT", "/v1/routes/sale", newRoute, 401, kqproblem.BadToken, ""},
		{"another team's item", "fatou", "PUT", "/v1/routes/store", strings.Replace(newRoute, `"shop"`, `"press"`, 1), 403, kqproblem.Forbidden, "/routes/store"},
		{"in another team's name", "fatou", "PUT", "/v1/routes/sale", newRoute, 403, kqproblem.Forbidden, "/routes/sale"},
		{"on another team's host", "fatou", "PUT", "/v1/routes/sale", strings.Replace(newRoute, `"shop"`, `"press"`, 1), 403, kqproblem.Forbidden, "/routes/sale"},
		{"another team's whole document", "fatou", "PUT", "/v1/document", `{"base":1,"document":{}}`, 403, kqproblem.Forbidden, "/teams/press"},
		{"another team's service removed", "fatou", "DELETE", "/v1/services/store", "", 403, kqproblem.Forbidden, "/services/store"},
		{"a rollout of another team's service", "fatou", "PUT", "/v1/rollouts/x", `{"item":{"team":"press","service":"store","from":"v1","to":"v2","start":"2030-01-01T00:00:00Z","deadline":"2030-01-02T00:00:00Z","policy":"careful"}}`, 403, kqproblem.Forbidden, "/rollouts/x"},
		{"a member's own quota", "mika", "PUT", "/v1/teams/shop", `{"item":{"max_routes":100}}`, 403, kqproblem.Forbidden, "/teams/shop"},
		{"2 MB document", "ana", "PUT", "/v1/document", `{"base":1,"document":{"teams":[{"name":"` + strings.Repeat("a", 2<<20) + `"}]}}`, 413, kqproblem.TooLarge, ""},
		{"route to a missing service", "mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, `"service":"store"`, `"service":"gone"`, 1), 422, kqproblem.Invalid, "/item/service"},
		{"service that a route needs", "ana", "DELETE", "/v1/services/store", "", 422, kqproblem.Invalid, "/document/routes/1/service"},
		{"over the quota", "mika", "PUT", "/v1/document", `{"base":1,"document":` + crowded() + `}`, 422, kqproblem.Quota, "/document/teams/0/max_routes"},
		{"stale version", "mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, "{", `{"base":0,`, 1), 409, kqproblem.Stale, ""},
		{"malformed JSON", "mika", "PUT", "/v1/routes/sale", `{"item":`, 400, kqproblem.Malformed, ""},
		{"unknown field", "mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, "path_prefix", "path_perfix", 1), 400, kqproblem.Malformed, ""},
		{"document without base", "ana", "PUT", "/v1/document", `{"document":{}}`, 400, kqproblem.Malformed, ""},
		{"path traversal, encoded", "ana", "PUT", "/v1/routes/..%2f..%2fetc%2fpasswd", newRoute, 400, kqproblem.Malformed, ""},
		{"path traversal", "ana", "GET", "/v1/services/../../etc/passwd", "", 404, kqproblem.NotFound, ""},
		{"large headers", "ana", "GET", "/v1/fleet?" + strings.Repeat("x", 9<<10), "", 431, kqproblem.HeadersTooLarge, ""},
		{"unknown item", "mika", "DELETE", "/v1/routes/none", "", 404, kqproblem.NotFound, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk(t)
			status, answer := d.do(c.operator, c.method, c.path, c.body)
			if status != c.status || answer["code"] != string(c.code) {
				t.Errorf("answer %d %v, want %d %s", status, answer, c.status, c.code)
			}
			if c.pointer != "" && !strings.Contains(fmt.Sprint(answer["errors"]), "pointer:"+c.pointer+"]") {
				t.Errorf("errors %v do not point at %s", answer["errors"], c.pointer)
			}
			if d.counts.of(c.code) != 1 {
				t.Errorf("counted %d times as %s, want 1", d.counts.of(c.code), c.code)
			}
			if v := d.version(); v != 1 {
				t.Errorf("version %d is in force, want 1", v)
			}
		})
	}
}

// crowded is a document with one route more than its team may have.
func crowded() string {
	d := first()
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

// The answer to a change is lost and the operator's script sends it again; then
// a mistake sends another change under the same id. The first must not be made
// twice, and the second must not pass for the first.
func TestRepeatedRequest(t *testing.T) {
	d := newDesk(t)
	for range 2 {
		status, answer := d.do("mika", "PUT", "/v1/routes/sale", newRoute)
		if status != 200 || answer["version"] != 2.0 || answer["committed"] != true {
			t.Fatalf("answer %d %v, want version 2", status, answer)
		}
	}
	if status, answer := d.do("ana", "PUT", "/v1/teams/other", `{"item":{}}`); status != 200 {
		t.Fatalf("answer %d %v", status, answer)
	}
	status, answer := d.do("mika", "PUT", "/v1/routes/sale", newRoute)
	if status != 200 || answer["version"] != 2.0 {
		t.Errorf("answer after another change %d %v, want version 2", status, answer)
	}
	status, answer = d.do("mika", "PUT", "/v1/routes/sale", strings.Replace(newRoute, "/sale", "/other", 1))
	if status != 409 || answer["code"] != string(kqproblem.Reused) || d.counts.of(kqproblem.Reused) != 1 {
		t.Errorf("answer to other content %d %v, want %s", status, answer, kqproblem.Reused)
	}
	if v := d.version(); v != 3 {
		t.Errorf("version %d is in force, want 3", v)
	}
	_, answer = d.do("ana", "GET", "/v1/requests/r-1", "")
	if answer["status"] != "committed" || answer["version"] != 2.0 {
		t.Errorf("the request is told as %v", answer)
	}
	_, answer = d.do("ana", "GET", "/v1/history", "")
	if text := fmt.Sprint(answer); !strings.Contains(text, "author:mika") || !strings.Contains(text, "reason:sale") {
		t.Errorf("history tells neither who nor why: %v", answer)
	}
	_, answer = d.do("ana", "GET", "/v1/audit", "")
	if text := fmt.Sprint(answer); !strings.Contains(text, "refused:request_id_reused") {
		t.Errorf("audit lacks the refusal: %v", answer)
	}
	for name, token := range d.tokens {
		if strings.Contains(d.log.String(), token) {
			t.Errorf("%s's token is in the log", name)
		}
	}
}

// Somebody tries token after token. After a few failures the source is sent
// away for a while, whatever it brings, and each refusal is counted.
func TestFailuresAreHeldBack(t *testing.T) {
	d := newDesk(t, kqadmin.WithNow(func() time.Time { return time.Unix(1_000_000, 0) }))
	for range 10 {
		if status, _ := d.do("kq_guess", "GET", "/v1/fleet", ""); status != 401 {
			t.Fatalf("status %d, want 401", status)
		}
	}
	status, answer := d.do("ana", "GET", "/v1/fleet", "")
	if status != 429 || d.counts.of(kqproblem.TooManyFailures) != 1 {
		t.Errorf("answer %d %v, want 429", status, answer)
	}
	if told := strings.Count(d.log.String(), "bad_token"); told != 10 || strings.Contains(d.log.String(), "kq_guess") {
		t.Errorf("the log tells of %d refusals, want 10 without what was sent:\n%s", told, d.log.String())
	}
}

// A client sends its headers byte by byte, as one does that wants to hold every
// connection of the server. It is told so and cut off, and others are served.
func TestSlowHeaders(t *testing.T) {
	d := newDesk(t, kqadmin.WithReadTimeout(50*time.Millisecond))
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "GET /v1/fleet HTTP/1.1\r\nHost: a\r\nX-Slow: ")
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("read refusal: %v", err)
	}
	_ = a.Body.Close()
	if a.StatusCode != http.StatusRequestTimeout || d.counts.of(kqproblem.TooSlow) != 1 {
		t.Errorf("status %d, counted %d; want 408 counted once", a.StatusCode, d.counts.of(kqproblem.TooSlow))
	}
	if status, _ := d.do("ana", "GET", "/v1/fleet", ""); status != 200 {
		t.Errorf("others get %d, want 200", status)
	}
}

// The description is what other programs are generated from: an operation that
// it names must be served, with the fields it names, and nothing else may be.
func TestDescription(t *testing.T) {
	d := newDesk(t)
	status, description := d.do("", "GET", "/v1/openapi.json", "")
	if status != 200 || description["openapi"] != "3.1.0" {
		t.Fatalf("description: %d", status)
	}
	paths := description["paths"].(map[string]any)
	fill := strings.NewReplacer("{version}", "1", "/requests/{name}", "/requests/first", "/fleet/{name}", "/fleet/one", "/services/{name}", "/services/store",
		"/routes/{name}", "/routes/store", "/policies/{name}", "/policies/careful", "/teams/{name}", "/teams/shop")
	asked := 0
	for path, methods := range paths {
		for method, operation := range methods.(map[string]any) {
			if method != "get" || path == "/v1/rollouts/{name}" {
				continue
			}
			asked++
			status, answer := d.do("ana", "GET", fill.Replace(path), "")
			if status != 200 {
				t.Errorf("GET %s is described and answers %d", path, status)
			}
			for _, field := range required(operation) {
				if _, ok := answer[field]; !ok {
					t.Errorf("GET %s lacks %q in %v", path, field, answer)
				}
			}
		}
		if status, answer := d.do("ana", "PATCH", path, ""); status != 404 {
			t.Errorf("PATCH %s is not described and answers %d %v", path, status, answer)
		}
	}
	if asked < 14 {
		t.Errorf("asked %d operations, want at least 14", asked)
	}
}

// required returns the fields that a described answer must have.
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
