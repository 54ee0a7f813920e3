package kqnode_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
)

// secret begins every key of TestNoKeyLeavesTheEntry.
const secret = "zebra-"

// outputs collects what the nodes of a fleet write, by where they write it.
type outputs struct {
	mu    sync.Mutex
	texts map[string]*bytes.Buffer
}

func (o *outputs) add(where string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.texts[where] == nil {
		o.texts[where] = &bytes.Buffer{}
	}
	o.texts[where].Write(data)
}

// Write implements io.Writer for logs.
func (o *outputs) Write(line []byte) (int, error) {
	o.add("log", line)
	return len(line), nil
}

// tap collects all messages between nodes.
func (o *outputs) tap(role kqnode.Role, c net.Conn, isSent bool, data []byte) {
	if role == kqnode.RoleControl || role == kqnode.RoleGate {
		o.add(fmt.Sprintf("%s %p %t", role, c, isSent), data)
	}
}

// holders returns where the text is written, also in compressed messages between nodes.
func (o *outputs) holders(text string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	for where, written := range o.texts {
		if bytes.Contains(written.Bytes(), []byte(text)) || bytes.Contains(decompressed(written.Bytes()), []byte(text)) {
			list = append(list, where)
		}
	}
	return list
}

// decompressed returns the contents of all zstd frames in data.
func decompressed(data []byte) []byte {
	var all []byte
	for magic := []byte{0x28, 0xb5, 0x2f, 0xfd}; ; data = data[len(magic):] {
		at := bytes.Index(data, magic)
		if at < 0 {
			return all
		}
		data = data[at:]
		if d, err := zstd.NewReader(bytes.NewReader(data), zstd.WithDecoderConcurrency(1)); err == nil {
			// Reading ends with an error at the bytes after the frame.
			plain, _ := io.ReadAll(io.LimitReader(d, 2<<20))
			d.Close()
			all = append(all, plain...)
		}
	}
}

// sendRaw sends bytes to a server's entry and returns what comes back until the connection is
// closed or 1.5 s have passed.
func sendRaw(t *testing.T, s *kqfleet.Server, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", string(s.Node.EntryAddress()))
	if err != nil {
		t.Error(err)
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Error(err)
	}
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// Guards against an API key in a log line at any level, a metric, a page, an answer or a message
// between nodes, from calls of every kind that carry one, also while servers fail.
func TestNoKeyLeavesTheEntry(t *testing.T) {
	o := &outputs{texts: make(map[string]*bytes.Buffer)}
	logger, err := kqlog.New(o, "debug", "json")
	if err != nil {
		t.Fatal(err)
	}
	token, line, err := kqoperator.NewToken(kqoperator.Operator{Name: "ana", Role: kqoperator.Admin})
	if err != nil {
		t.Fatal(err)
	}
	tokens := filepath.Join(t.TempDir(), "tokens")
	if err := os.WriteFile(tokens, []byte(line+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f := startKeyedFleet(t, kqfleet.New(kqfleet.WithLogger(logger), kqfleet.WithTap(o.tap), kqfleet.WithSettings(func(s *kqsettings.Settings) {
		adjustForKeys(s)
		s.Log.SampleEvery, s.Log.PerReason, s.Call.ReadTimeout = 1, 1000, time.Second
		if s.Admin.Listen != "" {
			s.Admin.Tokens = tokens
		}
	})), 5*time.Millisecond, secret+"first", secret+"second")
	var group sync.WaitGroup
	head := "GET / HTTP/1.1\r\nHost: store\r\nAuthorization: "
	for _, s := range f.servers[:2] {
		for _, text := range []string{
			head + "Bearer " + secret + "a\r\nAuthorization: Bearer " + secret + "b\r\n\r\n", head + "Basic " + secret + "c\r\n\r\n",
			head + secret + "d\r\n\r\n", head + "Bearer " + secret + strings.Repeat("e", 600) + "\r\n\r\n", head + "Bearer " + secret + "f\r\nbroken line\r\n\r\n",
			head + "Bearer " + secret + "g\r\nX: ", head + "Bearer " + secret + strings.Repeat("h", 30<<10) + "\r\n\r\n",
			head + "Bearer " + secret + "first\r\nContent-Length: 50\r\n\r\nshort", head + "Bearer " + secret + "first\r\nContent-Length: x\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: store\r\nTransfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n2\r\nhi\r\n0\r\nAuthorization: Bearer " + secret + "first\r\n\r\n",
			"Bearer " + secret + "i\r\n\r\n", head + "Bearer\t" + secret + "j\r\n\r\n", head + "Bearer " + secret + "first\r\nHost: other\r\n\r\n",
		} {
			group.Go(func() { o.add("answers", []byte(sendRaw(t, s, text))) })
		}
		f.call(s, secret+"made-up")
		f.call(s, secret+"second")
	}
	f.servers[0].Upstream.SetBehaviour(kqupstream.Behaviour{Work: 700 * time.Millisecond, FailShare: 0.5})
	group.Wait()
	for i := range 6 {
		group.Go(func() { f.call(f.servers[i%3], secret+"second") })
	}
	time.Sleep(100 * time.Millisecond)
	f.setKeys(secret + "first")
	group.Wait()
	f.call(f.servers[1], secret+"second")
	f.servers[0].Kill()
	f.call(f.servers[1], secret+"first")
	f.call(f.servers[1], secret+"made-up")
	readAdmin(t, o, "http://"+string(f.servers[1].Node.AdminAddress()), token)
	if list := o.holders(secret); len(list) > 0 {
		t.Errorf("keys are written to %q", list)
		for _, line := range bytes.Split(o.texts["log"].Bytes(), []byte("\n")) {
			if bytes.Contains(line, []byte(secret)) {
				t.Logf("%.600s", line)
			}
		}
	}
	for _, known := range []struct{ text, where string }{{"key_revoked", "log"}, {"acme", "/workspaces"}, {"unknown_key_inquiries", "/metrics"}, {"node-0", "control"}, {"acme", "gate"}} {
		if !strings.Contains(strings.Join(o.holders(known.text), " "), known.where) {
			t.Errorf("%s lacks %q, so it was not searched", known.where, known.text)
		}
	}
}

// readAdmin collects the pages, the API's answers and the metrics of an admin server.
func readAdmin(t *testing.T, o *outputs, address, token string) {
	t.Helper()
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	browser := &http.Client{Jar: jar}
	if _, err := browser.PostForm(address+"/login", url.Values{"token": {token}}); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{
		"/", "/fleet", "/fleet/node-1", "/moves", "/history", "/history/2", "/platform", "/requests", "/audit", "/workspaces", "/workspaces/edit/acme", "/metrics",
		"/v1/document", "/v1/document/1", "/v1/history", "/v1/fleet", "/v1/fleet/node-1", "/v1/convergence", "/v1/rollout-states", "/v1/suspect-requests", "/v1/platform", "/v1/audit", "/v1/workspaces", "/v1/workspaces/acme", "/v1/openapi.json",
	} {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, address+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Authorization", "Bearer "+token)
		response, err := browser.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		page, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("GET %s: status %d", path, response.StatusCode)
		}
		o.add("page "+path, page)
	}
}
