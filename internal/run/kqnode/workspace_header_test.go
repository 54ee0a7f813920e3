package kqnode_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// headerFleet is a fleet of two servers, at the second of which an upstream records the
// workspace and authorization headers and trailers of each call by its path.
type headerFleet struct {
	fleet   *kqfleet.Fleet
	commits *kqcommit.Committer
	front   *kqfleet.Server

	mu   sync.Mutex
	seen map[string]string
}

func newHeaderFleet(t *testing.T) *headerFleet {
	t.Helper()
	f := &headerFleet{fleet: kqfleet.New(kqfleet.WithSettings(adjustForKeys)), seen: make(map[string]string)}
	f.commits = kqcommit.New(f.fleet.Platform)
	var back *kqfleet.Server
	for _, s := range []**kqfleet.Server{&f.front, &back} {
		var err error
		if *s, err = f.fleet.Start(kqfleet.Spec{Node: kqname.Node(map[bool]string{true: "back", false: "front"}[s == &back]), Domain: "a", Region: "north"}); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _ = f.fleet.Close() })
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		var list []string
		for _, h := range []http.Header{r.Header, r.Trailer} {
			for _, name := range []string{"Kq-Workspace", "Authorization"} {
				list = append(list, h[name]...)
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.seen[r.URL.Path] = strings.Join(list, "|")
	}))
	t.Cleanup(upstream.Close)
	keepAnnouncing(t, back.Node.LocalAddress(), kqname.Address(strings.TrimPrefix(upstream.URL, "http://")))
	return f
}

// commit commits a document with the workspaces "acme" and "other", whose keys are "key-" and
// their names, or one without workspaces, and waits until it is in force.
func (f *headerFleet) commit(t *testing.T, base kqname.ConfigVersion, hasWorkspaces bool) {
	t.Helper()
	d := kqdocument.Document{
		Teams: []kqdocument.Team{{Name: "t"}}, Services: []kqdocument.Service{{Name: "store", Team: "t", Version: "v1"}},
		Routes: []kqdocument.Route{
			{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store"},
			{Name: "open", Team: "t", Host: "store", PathPrefix: "/open/", Service: "store", AllowAnonymous: true},
		},
	}
	for _, name := range []kqname.Workspace{"acme", "other"} {
		if hasWorkspaces {
			d.Workspaces = append(d.Workspaces, kqdocument.Workspace{Name: name, KeyDigests: []string{digestOfKey("key-" + string(name))}})
		}
	}
	o, err := f.commits.Commit(t.Context(), kqcommit.Request{ID: string('a' + rune(base)), Base: base, Author: "ana", Reason: "test", At: time.Unix(1, 0), Document: d})
	if err != nil || o.Status != kqcommit.Committed {
		t.Fatalf("commit ended as %+v, %v", o, err)
	}
	await(t, "the version is in force", func() bool { return f.front.Node.Version() >= o.Version })
}

// received sends a request until its path has reached the upstream, and returns what that got.
func (f *headerFleet) received(t *testing.T, path, request string) string {
	t.Helper()
	var got string
	await(t, path+" reaches the upstream", func() bool {
		answer := sendRaw(t, f.front, request)
		f.mu.Lock()
		defer f.mu.Unlock()
		var ok bool
		if got, ok = f.seen[path]; !ok {
			t.Log(answer)
		}
		return ok
	})
	return got
}

// Guards against a caller that makes an upstream believe that it calls for another workspace,
// against keys that reach an upstream, and against a fleet without workspaces that removes its
// callers' Authorization headers.
func TestWorkspaceHeaderComesFromTheSystem(t *testing.T) {
	f := newHeaderFleet(t)
	f.commit(t, 0, true)
	get := func(path, more string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: store\r\n" + more + "\r\n"
	}
	const key, forged, end = "Authorization: Bearer key-acme\r\n", "Kq-Workspace: other\r\n", "Connection: close\r\n"
	chunked := "Transfer-Encoding: chunked\r\nTrailer: Kq-Workspace\r\n" + end + "\r\n2\r\nhi\r\n0\r\nKq-Workspace: other\r\n"
	// The HTTP library refuses an Authorization header in a trailer, so it reaches nobody.
	for path, c := range map[string]struct{ request, want string }{
		"/plain":      {get("/plain", key+end), "acme"},
		"/twice":      {get("/twice", forged+key+"kq-workspace: third\r\n"+end), "acme"},
		"/connection": {get("/connection", key+forged+"Connection: close, Kq-Workspace, Authorization\r\n"), "acme"},
		"/trailer":    {strings.Replace(get("/trailer", key+chunked), "GET", "POST", 1), "acme"},
		"/pipelined":  {get("/first", "Authorization: Bearer key-other\r\n") + get("/pipelined", key+forged+end), "acme"},
		"/open/a":     {get("/open/a", forged+"Authorization: Bearer unknown\r\n"+end), ""},
		"/open/b":     {get("/open/first", key) + get("/open/b", forged+end), ""},
	} {
		if got := f.received(t, path, c.request); got != c.want {
			t.Errorf("%s: the upstream got %q, want %q", path, got, c.want)
		}
	}
	f.commit(t, 1, false)
	if got := f.received(t, "/as-before", get("/as-before", key+end)); got != "Bearer key-acme" {
		t.Errorf("without workspaces the upstream got %q, want the Authorization header", got)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen["/first"] != "other" || f.seen["/open/first"] != "acme" {
		t.Errorf("the calls before pipelined ones brought %q and %q", f.seen["/first"], f.seen["/open/first"])
	}
}
