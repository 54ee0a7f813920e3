package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// pieceSize is the size, in bytes, of the pieces in which a testUpstream writes a response.
const pieceSize = 64 << 10

// callIDHeader is the header with a call's id, by which the upstream counts its runs.
const callIDHeader = "Work-Id"

type (
	// fleet is two node processes, and an upstream local to the back one in the test's own
	// process, so that the test knows which calls ran.
	fleet struct {
		t *testing.T
		// platform is the URL of the platform's key-value service.
		platform    string
		front, back *process
		// entry, local, gate and control are the front node's entry address, the back
		// node's local and gate addresses and the front node's control address.
		entry, local, gate, control string
		upstream                    *testUpstream
	}

	// testUpstream is an upstream that behaves as a call's query parameters say.
	testUpstream struct {
		*httptest.Server
		mu sync.Mutex
		// runs counts the runs of each call, by its id.
		runs map[string]int
		// announceAddress is the address at which the node takes announcements.
		announceAddress string
	}
)

// newFleet starts a fleet and waits until it serves. front and back are further lines of
// each node's settings, for extendSettings.
func newFleet(t *testing.T, front, back string) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: readAfter(t, startCommand(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")}
	f.front = startNode(t, extendSettings(t, writeSettings(t, "front", f.platform, "", ""), front))
	f.entry = f.front.readAfter(t, "entry ")
	f.control = f.front.readAfter(t, "control ")
	f.back = startNode(t, extendSettings(t, writeSettings(t, "back", f.platform, f.control, "store"), back))
	f.local = f.back.readAfter(t, "local ")
	f.gate = f.back.readAfter(t, "gate ")
	// Not read from f in the goroutine: a test that restarts a node replaces f.back.
	for _, p := range []*process{f.front, f.back} {
		go func() { _, _ = io.Copy(logOutput(), p.lines) }()
	}
	f.upstream = newTestUpstream(t, f.local)
	file := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	commit := command(t, "document", "commit", file, "--platform", f.platform, "--base", "0", "--reason", "first")
	if out, err := commit.CombinedOutput(); err != nil {
		t.Fatalf("commit: %v\n%s", err, out)
	}
	f.await(f.entry)
	return f
}

// await waits until a node's entry serves, and fails the test after ten seconds.
func (f *fleet) await(entry string) {
	f.t.Helper()
	last := ""
	for range 400 {
		if last = call(f.t, entry, "store"); strings.HasPrefix(last, "200 ") {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	f.t.Fatalf("last response %q, want the upstream's", last)
}

// extendSettings adds lines to the end of the [node] section of a settings file. The lines
// may begin further sections. For each of them it removes the first earlier line with the
// same key, in whatever section. It returns the file's path.
func extendSettings(t *testing.T, file, lines string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for line := range strings.Lines(lines) {
		key, _, _ := strings.Cut(line, " ")
		if at := strings.Index(text, "\n"+key+" ="); at >= 0 {
			end := at + 1 + strings.IndexByte(text[at+1:], '\n')
			text = text[:at] + text[end:]
		}
	}
	text = strings.Replace(text, "[platform]", lines+"[platform]", 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// newTestUpstream starts an upstream that announces itself to a node until the test ends,
// even if its server is closed before.
func newTestUpstream(t *testing.T, announceAddress string) *testUpstream {
	t.Helper()
	u := &testUpstream{runs: make(map[string]int), announceAddress: announceAddress}
	u.Server = httptest.NewServer(u)
	t.Cleanup(u.Close)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			u.announce()
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return u
}

func (u *testUpstream) announce() {
	body, err := json.Marshal(kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(u.Listener.Addr().String()), Slots: 256})
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if a, err := client.Post("http://"+u.announceAddress+"/kq/announce", "application/json", bytes.NewReader(body)); err == nil {
		_ = a.Body.Close()
	}
}

// ServeHTTP implements http.Handler. The response body begins with the call's id and the
// size of the request body. The query parameter ms is the processing time in milliseconds,
// bytes the size to which the response body is padded.
func (u *testUpstream) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(callIDHeader)
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	received, _ := io.Copy(io.Discard, r.Body)
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	time.Sleep(time.Duration(ms) * time.Millisecond)
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	text := fmt.Sprintf("%s %d ", id, received)
	if size > len(text) {
		out.Header().Set("Content-Length", strconv.Itoa(size))
	}
	out.Header().Set(callIDHeader, id)
	_, _ = io.WriteString(out, text)
	piece := bytes.Repeat([]byte{'.'}, min(max(size-len(text), 0), pieceSize))
	for left := size - len(text); left > 0; left -= len(piece) {
		piece = piece[:min(left, len(piece))]
		if _, err := out.Write(piece); err != nil {
			return
		}
	}
}

// runCount returns how often a call has run.
func (u *testUpstream) runCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// freeAddress returns a free address with a port outside the kernel's ephemeral range.
// An ephemeral port could be taken by another test's connection before a node listens
// there.
func freeAddress(t *testing.T) string {
	t.Helper()
	const least, span = 20000, 10000
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", least+rand.IntN(span)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	t.Fatal("no free port found")
	return ""
}

// logOutput returns the destination of the nodes' logs: standard error if CONNS_LOGS is
// set, else nowhere.
func logOutput() io.Writer {
	if os.Getenv("CONNS_LOGS") != "" {
		return os.Stderr
	}
	return io.Discard
}
