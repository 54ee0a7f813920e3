package kqadmin_test

import (
	"fmt"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
)

var hiddenInput = regexp.MustCompile(`<input type="hidden" name="([^"]+)" value="([^"]*)">`)

// browser is an HTTP client with the cookies of one console session.
type browser struct {
	t      *testing.T
	server *server
	http   *http.Client
}

// newBrowser returns a browser that is logged in as operator, unless it is "".
func newBrowser(t *testing.T, s *server, operator string) *browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	b := &browser{t: t, server: s, http: &http.Client{Jar: jar}}
	if operator != "" {
		if status, body := b.post("/login", url.Values{"token": {s.tokens[operator]}}); status != 200 || !strings.Contains(body, "Overview") {
			t.Fatalf("login: status %d", status)
		}
	}
	return b
}

func (b *browser) get(path string) (int, string) {
	b.t.Helper()
	response, err := b.http.Get(b.server.url + path)
	return b.read(response, err)
}

func (b *browser) post(path string, form url.Values) (int, string) {
	b.t.Helper()
	response, err := b.http.PostForm(b.server.url+path, form)
	return b.read(response, err)
}

func (b *browser) read(response *http.Response, err error) (int, string) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// changeForm returns the hidden fields that follow the start of the page's change form,
// with the fields of more added or replaced.
func changeForm(page string, more url.Values) url.Values {
	_, page, _ = strings.Cut(page, `/change"`)
	all := url.Values{}
	for _, m := range hiddenInput.FindAllStringSubmatch(page, -1) {
		all.Set(m[1], html.UnescapeString(m[2]))
	}
	for name, values := range more {
		all[name] = values
	}
	return all
}

// An operator fills in a form, reviews the difference and commits. The review
// must not change the document and must escape the input. The committed change must
// show in the overview, its form, the history and the audit log, and every other
// page must show its own content.
func TestConsoleCommitsAfterReview(t *testing.T) {
	s := newTestServer(t)
	b := newBrowser(t, s, "mika")
	_, page := b.get("/routes/new")
	filled := url.Values{
		"f_name": {"sale"}, "f_team": {"shop"}, "f_host": {"store"}, "f_path_prefix": {"/sale"},
		"f_headers": {"X-Kind: maple"}, "f_service": {"store"}, "f_idempotent": {"on"}, "reason": {"<b>sale</b>"}, "action": {"review"},
	}
	status, page := b.post("/routes/change", changeForm(page, filled))
	if status != 200 || !strings.Contains(page, "routes.sale") || s.version() != 1 {
		t.Fatalf("review: %d, version %d\n%s", status, s.version(), page)
	}
	if strings.Contains(page, "<b>sale</b>") {
		t.Error("the page does not escape the reason")
	}
	if status, _ = b.post("/routes/change", changeForm(page, url.Values{"action": {"commit"}})); status != 200 || s.version() != 2 {
		t.Fatalf("commit: %d, version %d", status, s.version())
	}
	for path, want := range map[string]string{
		"/": "Version 2 by mika", "/routes/edit/sale": "X-Kind: maple", "/history": "mika", "/history/2": "/sale",
		"/fleet": "1 behind", "/fleet/one": "config_refused", "/moves": "taken back", "/platform": "answers", "/audit": "put of routes.sale",
		"/services": "store", "/rollouts/new": "choose …", "/rollouts": "None yet", "/policies": "careful", "/teams": "shop", "/evacuations": "north", "/workspaces": "0a0a0a0a0a0a0a0a 0b0b0b0b0b0b0b0b",
	} {
		if status, page := b.get(path); status != 200 || !strings.Contains(page, want) {
			t.Errorf("GET %s: status %d, page lacks %q", path, status, want)
		}
	}
}

// An operator submits invalid values and then commits a form whose item another
// operator has changed meanwhile. The page must show each error next to its
// field, both sides of the conflict, and all values that were filled in.
func TestConsoleKeepsInputAfterErrors(t *testing.T) {
	s := newTestServer(t)
	b := newBrowser(t, s, "mika")
	_, page := b.get("/services/edit/store")
	input := changeForm(page, url.Values{"f_team": {"shop"}, "f_timeout_ms": {"soon"}, "reason": {"too slow"}, "action": {"review"}})
	status, page := b.post("/services/change", input)
	if status != 422 || !strings.Contains(page, "Must be a whole number") || !strings.Contains(page, `value="soon"`) {
		t.Errorf("value that is not a number: status %d\n%s", status, page)
	}
	input.Set("f_timeout_ms", "900000")
	status, page = b.post("/services/change", input)
	if status != 422 || !strings.Contains(page, `id="h_timeout_ms" class="help"><strong class="fault">`) {
		t.Errorf("value out of range: status %d\n%s", status, page)
	}

	if status, answer := s.request("ana", "PUT", "/v1/services/store", `{"item":{"team":"shop","version":"v2"}}`); status != 200 {
		t.Fatalf("concurrent change: response %d %v, want 200", status, answer)
	}
	input.Set("f_timeout_ms", "5000")
	input.Set("action", "commit")
	status, page = b.post("/services/change", input)
	for _, want := range []string{"Changed meanwhile", "<ins>v2</ins>", "<ins>5000</ins>", `value="5000"`, `value="too slow"`, `name="base" value="2"`} {
		if status != 409 || !strings.Contains(page, want) {
			t.Errorf("conflict: status %d, page lacks %q", status, want)
		}
	}
	if s.version() != 2 {
		t.Errorf("version %d is in force, want 2", s.version())
	}
}

// Requests without a session, with an unknown token, with a wrong CSRF token or
// for another team's item must be refused and change nothing. Responses must have
// the security headers, and a session must need only one cookie.
func TestConsoleRefusesUnauthorizedRequests(t *testing.T) {
	s := newTestServer(t)
	if _, page := newBrowser(t, s, "").get("/fleet"); !strings.Contains(page, "Your token") {
		t.Error("a request without a session did not get the login page")
	}
	if status, _ := newBrowser(t, s, "").post("/login", url.Values{"token": {"kq_guess"}}); status != 401 || s.counter.refusedCount(kqproblem.BadToken) != 1 {
		t.Errorf("login with an unknown token: status %d, want 401 counted once", status)
	}
	b := newBrowser(t, s, "ana")
	_, page := b.get("/teams/new")
	forged := changeForm(page, url.Values{"f_name": {"thieves"}, "action": {"commit"}, "csrf": {"guess"}})
	if status, _ := b.post("/teams/change", forged); status != 403 || s.counter.refusedCount(kqproblem.CSRFCheckFailed) != 1 {
		t.Errorf("form with a wrong CSRF token: status %d, want 403 counted once", status)
	}
	fatou := newBrowser(t, s, "fatou")
	_, page = fatou.get("/services/edit/store")
	if status, _ := fatou.post("/services/change", changeForm(page, url.Values{"f_team": {"press"}, "action": {"commit"}})); status != 403 {
		t.Errorf("form for another team's service: status %d, want 403", status)
	}
	if s.version() != 1 {
		t.Errorf("version %d is in force, want 1", s.version())
	}
	response, err := http.Get(s.url + "/login")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	for _, name := range []string{"Content-Security-Policy", "X-Content-Type-Options", "X-Frame-Options", "Referrer-Policy"} {
		if response.Header.Get(name) == "" {
			t.Errorf("header %s is missing", name)
		}
	}
	u, err := url.Parse(s.url)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.http.Jar.Cookies(u)) != 1 {
		t.Error("the browser does not have exactly one cookie")
	}
}

// Guards against a form that drops a workspace's keys, or a route's permission for anonymous
// calls, when an operator changes another field: all callers would be refused.
func TestFormsKeepWhoMayCall(t *testing.T) {
	s := newTestServer(t)
	if status, answer := s.request("ana", "PUT", "/v1/routes/store", `{"item":{"team":"shop","host":"store","path_prefix":"/","service":"store","allow_anonymous":true}}`); status != 200 {
		t.Fatal(answer)
	}
	b := newBrowser(t, s, "ana")
	_, page := b.get("/workspaces/edit/acme")
	digests := regexp.MustCompile(`(?s)name="f_key_digests"[^>]*>([^<]*)</textarea>`).FindStringSubmatch(page)
	if digests == nil {
		t.Fatal("the form lacks the key digests")
	}
	if status, page := b.post("/workspaces/change", changeForm(page, url.Values{
		"f_name": {"acme"}, "f_rate_per_s": {"12.5"}, "f_key_digests": {digests[1]}, "action": {"commit"},
	})); status != 200 {
		t.Fatalf("commit of the workspace: %d %s", status, page)
	}
	_, page = b.get("/routes/edit/store")
	if !strings.Contains(page, `name="f_allow_anonymous" checked`) {
		t.Error("the form of a route lacks that it allows anonymous calls")
	}
	if status, page := b.post("/routes/change", changeForm(page, url.Values{
		"f_name": {"store"}, "f_team": {"shop"}, "f_host": {"store"}, "f_path_prefix": {"/"}, "f_service": {"store"},
		"f_timeout_ms": {"700"}, "f_allow_anonymous": {"on"}, "action": {"commit"},
	})); status != 200 {
		t.Fatalf("commit of the route: %d %s", status, page)
	}
	_, workspace := s.request("ana", "GET", "/v1/workspaces/acme", "")
	_, route := s.request("ana", "GET", "/v1/routes/store", "")
	if text := fmt.Sprint(workspace); !strings.Contains(text, "rate_per_s:12.5") || !strings.Contains(text, strings.Repeat("0b", 32)) {
		t.Errorf("the form left the workspace as %s", text)
	}
	if text := fmt.Sprint(route); !strings.Contains(text, "timeout_ms:700") || !strings.Contains(text, "allow_anonymous:true") {
		t.Errorf("the form left the route as %s", text)
	}
}
