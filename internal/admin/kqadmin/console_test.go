package kqadmin_test

import (
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

var hidden = regexp.MustCompile(`<input type="hidden" name="([^"]+)" value="([^"]*)">`)

// browser is an operator at the console.
type browser struct {
	t    *testing.T
	desk *desk
	http *http.Client
}

func newBrowser(t *testing.T, d *desk, operator string) *browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	b := &browser{t: t, desk: d, http: &http.Client{Jar: jar}}
	if operator != "" {
		if status, body := b.post("/login", url.Values{"token": {d.tokens[operator]}}); status != 200 || !strings.Contains(body, "Overview") {
			t.Fatalf("login: %d", status)
		}
	}
	return b
}

func (b *browser) get(path string) (int, string) {
	b.t.Helper()
	a, err := b.http.Get(b.desk.url + path)
	return b.read(a, err)
}

func (b *browser) post(path string, form url.Values) (int, string) {
	b.t.Helper()
	a, err := b.http.PostForm(b.desk.url+path, form)
	return b.read(a, err)
}

func (b *browser) read(a *http.Response, err error) (int, string) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return a.StatusCode, string(body)
}

// form returns the hidden fields of the form that changes an item.
func form(page string, more url.Values) url.Values {
	_, page, _ = strings.Cut(page, `/change"`)
	all := url.Values{}
	for _, m := range hidden.FindAllStringSubmatch(page, -1) {
		all.Set(m[1], html.UnescapeString(m[2]))
	}
	for name, values := range more {
		all[name] = values
	}
	return all
}

// An operator fills in a form, sees the difference, and commits. Nothing may be
// in force before he has seen it.
func TestConsoleCommits(t *testing.T) {
	d := newDesk(t)
	b := newBrowser(t, d, "mika")
	_, page := b.get("/routes/new")
	filled := url.Values{
		"f_name": {"sale"}, "f_team": {"shop"}, "f_host": {"store"}, "f_path_prefix": {"/sale"},
		"f_headers": {"X-Kind: maple"}, "f_service": {"store"}, "f_idempotent": {"on"}, "reason": {"<b>sale</b>"}, "action": {"review"},
	}
	status, page := b.post("/routes/change", form(page, filled))
	if status != 200 || !strings.Contains(page, "routes.sale") || d.version() != 1 {
		t.Fatalf("review: %d, version %d\n%s", status, d.version(), page)
	}
	if strings.Contains(page, "<b>sale</b>") {
		t.Error("what was filled in stands in the page as HTML")
	}
	if status, _ = b.post("/routes/change", form(page, url.Values{"action": {"commit"}})); status != 200 || d.version() != 2 {
		t.Fatalf("commit: %d, version %d", status, d.version())
	}
	for path, want := range map[string]string{
		"/": "Version 2 by mika", "/routes/edit/sale": "X-Kind: maple", "/history": "mika", "/history/2": "/sale",
		"/fleet": "1 behind", "/fleet/one": "config_refused", "/moves": "taken back", "/platform": "answers", "/audit": "put of routes.sale",
		"/services": "store", "/rollouts/new": "choose …", "/rollouts": "None yet", "/policies": "careful", "/teams": "shop",
	} {
		if status, page := b.get(path); status != 200 || !strings.Contains(page, want) {
			t.Errorf("%s: %d, lacks %q", path, status, want)
		}
	}
}

// An operator mistypes, and later commits a form that another one has
// overtaken. He must find each fault beside its field, both sides of the
// conflict, and all that he had filled in.
func TestConsoleKeepsInput(t *testing.T) {
	d := newDesk(t)
	b := newBrowser(t, d, "mika")
	_, page := b.get("/services/edit/store")
	mine := form(page, url.Values{"f_team": {"shop"}, "f_timeout_ms": {"soon"}, "reason": {"too slow"}, "action": {"review"}})
	status, page := b.post("/services/change", mine)
	if status != 422 || !strings.Contains(page, "Must be a whole number") || !strings.Contains(page, `value="soon"`) {
		t.Errorf("mistyped: %d\n%s", status, page)
	}
	mine.Set("f_timeout_ms", "900000")
	status, page = b.post("/services/change", mine)
	if status != 422 || !strings.Contains(page, `id="h_timeout_ms" class="help"><strong class="fault">`) {
		t.Errorf("out of bounds: %d\n%s", status, page)
	}

	if status, answer := d.do("ana", "PUT", "/v1/services/store", `{"item":{"team":"shop","version":"v2"}}`); status != 200 {
		t.Fatalf("the other's change: %d %v", status, answer)
	}
	mine.Set("f_timeout_ms", "5000")
	mine.Set("action", "commit")
	status, page = b.post("/services/change", mine)
	for _, want := range []string{"Changed meanwhile", "<ins>v2</ins>", "<ins>5000</ins>", `value="5000"`, `value="too slow"`, `name="base" value="2"`} {
		if status != 409 || !strings.Contains(page, want) {
			t.Errorf("conflict: %d, lacks %q", status, want)
		}
	}
	if d.version() != 2 {
		t.Errorf("version %d is in force, want 2", d.version())
	}
}

// Another site makes an operator's browser send a form, a stranger opens a page
// or tries a token. None may change or see anything.
func TestConsoleRefuses(t *testing.T) {
	d := newDesk(t)
	if _, page := newBrowser(t, d, "").get("/fleet"); !strings.Contains(page, "Your token") {
		t.Error("a stranger is not asked to log in")
	}
	if status, _ := newBrowser(t, d, "").post("/login", url.Values{"token": {"kq_guess"}}); status != 401 || d.counts.of(kqproblem.BadToken) != 1 {
		t.Errorf("a guessed token gets %d", status)
	}
	b := newBrowser(t, d, "ana")
	_, page := b.get("/teams/new")
	stolen := form(page, url.Values{"f_name": {"thieves"}, "action": {"commit"}, "csrf": {"guess"}})
	if status, _ := b.post("/teams/change", stolen); status != 403 || d.counts.of(kqproblem.NoCSRF) != 1 {
		t.Errorf("a form of another site gets %d", status)
	}
	fatou := newBrowser(t, d, "fatou")
	_, page = fatou.get("/services/edit/store")
	if status, _ := fatou.post("/services/change", form(page, url.Values{"f_team": {"press"}, "action": {"commit"}})); status != 403 {
		t.Errorf("another team's form gets %d", status)
	}
	if d.version() != 1 {
		t.Errorf("version %d is in force, want 1", d.version())
	}
	a, err := http.Get(d.url + "/login")
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	for _, name := range []string{"Content-Security-Policy", "X-Content-Type-Options", "X-Frame-Options", "Referrer-Policy"} {
		if a.Header.Get(name) == "" {
			t.Errorf("header %s is missing", name)
		}
	}
	u, err := url.Parse(d.url)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.http.Jar.Cookies(u)) != 1 {
		t.Error("there is not one session cookie")
	}
}
