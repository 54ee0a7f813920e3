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

const workHeader = "Work-Id"

type (
	// fleet is two nodes as processes, and an upstream of the test's own beside the
	// back one, so that the test knows what ran.
	fleet struct {
		t           *testing.T
		platform    string
		front, back *process
		// entry, local and control are the front's entry, the back's local address
		// and the front's control address.
		entry, local, control string
		upstream              *worker
	}

	// worker is an upstream that does what a call's path says.
	worker struct {
		*httptest.Server
		mu   sync.Mutex
		runs map[string]int
		node string
	}
)

// newFleet returns a fleet that serves. The texts are further lines of [node].
func newFleet(t *testing.T, front, back string) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")}
	f.front = node(t, extended(t, settings(t, "front", f.platform, "", ""), front))
	f.entry = f.front.after(t, "entry ")
	f.control = f.front.after(t, "control ")
	f.back = node(t, extended(t, settings(t, "back", f.platform, f.control, "store"), back))
	f.local = f.back.after(t, "local ")
	// Not by way of f: a test puts another process in its place when it starts one again.
	for _, p := range []*process{f.front, f.back} {
		go func() { _, _ = io.Copy(logs(), p.lines) }()
	}
	f.upstream = newWorker(t, f.local)
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

// await returns once a node's entry serves.
func (f *fleet) await(entry string) {
	f.t.Helper()
	last := ""
	for range 400 {
		if last = call(f.t, entry, "store"); strings.HasPrefix(last, "200 ") {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	f.t.Fatalf("last answer %q, want the upstream's", last)
}

// extended adds lines to the [node] section of a settings file, in place of those
// with the same keys.
func extended(t *testing.T, file, lines string) string {
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

func newWorker(t *testing.T, node string) *worker {
	t.Helper()
	w := &worker{runs: make(map[string]int), node: node}
	w.Server = httptest.NewServer(w)
	t.Cleanup(w.Close)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			w.announce()
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return w
}

func (w *worker) announce() {
	body, err := json.Marshal(kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(w.Listener.Addr().String()), Slots: 256})
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if a, err := client.Post("http://"+w.node+"/kq/announce", "application/json", bytes.NewReader(body)); err == nil {
		_ = a.Body.Close()
	}
}

// ServeHTTP implements http.Handler: "ms" is how long it works, "bytes" how long the
// answer is. The answer tells the call's id and how long its body was.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(workHeader)
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	taken, _ := io.Copy(io.Discard, r.Body)
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	time.Sleep(time.Duration(ms) * time.Millisecond)
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	text := fmt.Sprintf("%s %d ", id, taken)
	if size > len(text) {
		out.Header().Set("Content-Length", strconv.Itoa(size))
	}
	out.Header().Set(workHeader, id)
	_, _ = io.WriteString(out, text)
	if size > len(text) {
		_, _ = out.Write(bytes.Repeat([]byte{'.'}, size-len(text)))
	}
}

// ran returns how often a call has run.
func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// port returns an address that is free, out of the range from which the kernel takes
// ports for connections and for listeners that name none: one of these would be taken
// again by any other test's connection before a node listens there.
func port(t *testing.T) string {
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
	t.Fatal("no port is free")
	return ""
}

// logs is where the nodes' logs go: nowhere, unless someone looks by hand.
func logs() io.Writer {
	if os.Getenv("CONNS_LOGS") != "" {
		return os.Stderr
	}
	return io.Discard
}
