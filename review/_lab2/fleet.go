package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Machine is one machine of class sidecar: a node of the project, run as its own process by the
// command of the deploy file, and the application server beside it, which is a stand-in.
type Machine struct {
	fleet                        *Fleet
	name, zone, service, ver, ip string
	settings                     string
	server                       *Server
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	ended                        chan struct{}
	stopped                      bool      // must not be restarted
	touched                      time.Time // last signal, end or start of the process
	log                          *os.File
}

// Fleet is a small deployment on loopback addresses.
type Fleet struct {
	root, dir string
	store     *Store
	ports     ports
	bounds    map[string]string
	machines  []*Machine
	rec       *Recorder
	template  string
	command   []string
	net3      int
}

type ports struct{ entry, control, gate, ready, app, internal int }

// Server is a sound application server.
type Server struct {
	m        *Machine
	id       string
	born     int64
	seq      atomic.Uint64
	state    atomic.Value // "ready", "draining", "gone"
	http     *http.Server
	handle   func(s *Server, w http.ResponseWriter, r *http.Request) bool
	address  string
	beatsOff atomic.Bool
}

// Recorder writes record.txt.
type Recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecorder(path string) *Recorder {
	f, err := os.Create(path)
	if err != nil {
		fail("%v", err)
	}
	return &Recorder{w: bufio.NewWriter(f), file: f, began: time.Now()}
}

func (r *Recorder) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

var cleanups []func()

func finish(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	finish(2)
}

func newFleet(root string, store *Store, rec *Recorder, bounds map[string]string) *Fleet {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("%v", err)
	}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	f := &Fleet{root: root, dir: dir, store: store, rec: rec, bounds: bounds, net3: 1 + os.Getpid()%250}
	data, err := os.ReadFile(filepath.Join(root, "deploy/node.ini"))
	if err != nil {
		fail("%v", err)
	}
	f.template = string(data)
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		fail("%v", err)
	}
	run := regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`).FindSubmatch(deploy)
	if run == nil {
		fail("no run command in the deploy file")
	}
	f.command = strings.Fields(string(run[1]))
	cleanups = append(cleanups, f.killAll)
	return f
}

// pickPorts chooses ports that are free at all of the fleet's addresses.
func (f *Fleet) pickPorts(machines int) {
	for base := 18000 + os.Getpid()%20000; base < 60000; base += 50 {
		if f.free(base, machines) {
			f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 10}
			return
		}
	}
	fail("no free ports")
}

func (f *Fleet) free(base, machines int) bool {
	for i := range machines {
		for _, p := range []int{0, 1, 2, 3, 4, 10} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(i), base+p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *Fleet) ip(i int) string { return fmt.Sprintf("127.0.%d.%d", f.net3, 10+i) }

// Add adds a machine. It does not start anything.
func (f *Fleet) Add(name, zone, service, ver string) *Machine {
	m := &Machine{fleet: f, name: name, zone: zone, service: service, ver: ver, ip: f.ip(len(f.machines))}
	f.machines = append(f.machines, m)
	return m
}

// fields returns what the platform fills the template with.
func (m *Machine) fields() map[string]string {
	p := m.fleet.ports
	v := map[string]string{
		"NodeName": m.name, "Zone": m.zone, "Region": "region", "Service": m.service, "Ip": m.ip,
		"Listen.Inbound": fmt.Sprintf("%s:%d", m.ip, p.gate), "Listen.Outbound": fmt.Sprintf("%s:%d", m.ip, p.entry),
		"Listen.Ready": fmt.Sprintf("%s:%d", m.ip, p.ready), "Listen.Control": fmt.Sprintf("%s:%d", m.ip, p.control),
		"InternalPorts.0": strconv.Itoa(p.internal), "Limits.CpuShare": "0.32", "Limits.Cores": "1", "Limits.MemoryMb": "284",
		"Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0", "Heartbeat": "1500ms", "Platform.Address": m.fleet.store.address,
		"AppAddr": fmt.Sprintf("%s:%d", m.ip, p.app),
	}
	for k, b := range m.fleet.bounds {
		v["Bounds."+k] = b
	}
	return v
}

func (m *Machine) fill() string {
	v, text := m.fields(), m.fleet.template
	section := regexp.MustCompile(`(?s)\{\{#([A-Za-z0-9.]+)\}\}(.*?)\{\{/([A-Za-z0-9.]+)\}\}`)
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		g := section.FindStringSubmatch(s)
		if v[g[1]] == "" {
			return ""
		}
		return g[2]
	})
	return regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		return v[strings.Trim(s, "{}")]
	})
}

// StartNode starts the node's process.
func (m *Machine) StartNode() {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.fleet
	m.settings = filepath.Join(f.dir, m.name+".conf")
	if err := os.WriteFile(m.settings, []byte(m.fill()), 0o600); err != nil {
		fail("%v", err)
	}
	args := append([]string{}, f.command[1:]...)
	for i, a := range args {
		if a == "/etc/kumquatgw/boot.conf" {
			args[i] = m.settings
		}
	}
	if m.log == nil {
		m.log, _ = os.Create(filepath.Join(f.dir, m.name+".log"))
	}
	cmd := exec.Command(filepath.Join(f.root, f.command[0]), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, m.log, m.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATGW_BOOT=" + m.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start node: %v", err)
	}
	m.cmd, m.ended, m.touched, m.stopped = cmd, make(chan struct{}), time.Now(), false
	f.rec.Log("node %s started, pid %d", m.name, cmd.Process.Pid)
	ended := m.ended
	go func() {
		err := cmd.Wait()
		f.rec.Log("node %s ended: %v", m.name, err)
		close(ended)
	}()
}

func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.touched = time.Now()
	m.fleet.rec.Log("node %s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// Restart stops the node with SIGTERM, and after the grace time with SIGKILL, and starts it again.
func (m *Machine) Restart(grace time.Duration) {
	m.Signal(syscall.SIGTERM)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		m.Signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(300 * time.Millisecond)
	m.StartNode()
}

// KillAndRestart kills the node and starts it again after a delay.
func (m *Machine) KillAndRestart(after time.Duration) {
	m.Signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
	time.Sleep(after)
	m.StartNode()
}

func (m *Machine) Touched() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.touched
}

func (m *Machine) Entry() string   { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.entry) }
func (m *Machine) Control() string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.control) }

// Ready is the platform's probe.
func (m *Machine) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", m.ip, m.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

func (f *Fleet) AwaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range f.machines {
			all = all && m.Ready()
		}
		if all {
			return true
		}
	}
	return false
}

func (f *Fleet) killAll() {
	for _, m := range f.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
		}
		ended := m.ended
		m.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range f.machines {
			if data, err := os.ReadFile(filepath.Join(f.dir, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600)
			}
		}
	}
}

// StartServer starts the machine's application server, with a new id unless one is given.
func (m *Machine) StartServer(id string, handle func(s *Server, w http.ResponseWriter, r *http.Request) bool) *Server {
	s := &Server{m: m, id: id, born: time.Now().UnixMilli(), handle: handle, address: fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.app)}
	s.state.Store("ready")
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		fail("server: %v", err)
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go func() {
		for s.state.Load() != "gone" {
			if !s.beatsOff.Load() {
				s.Beat()
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	m.server = s
	return s
}

// Beat sends one heartbeat and reports whether it was acknowledged.
func (s *Server) Beat() bool {
	state, _ := s.state.Load().(string)
	body := fmt.Sprintf(`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":%q,"Zone":%q,"Slots":6},"Status":{"State":%q,"SeqNo":%d,"ColdLeft":"0ms"}}`,
		s.address, s.born, s.m.service, s.m.ver, s.m.zone, state, s.seq.Add(1))
	return s.post("instances.heartbeat", body)
}

func (s *Server) post(call, body string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(fmt.Sprintf("http://%s/-/rpc?call=%s&of=%s", s.m.Control(), call, s.id), "application/json", bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// ServeHTTP answers like a sound server.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Kumquatgw-Instance-Id", s.id)
		w.WriteHeader(200)
		return
	}
	if want := r.Header.Get("Kumquatgw-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Kumquatgw-Instance-Id", s.id)
		w.WriteHeader(421)
		return
	}
	id := r.Header.Get("Kumquatgw-Request-Id")
	if id == "" {
		w.Header().Set("Kumquatgw-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	w.Header().Set("Kumquatgw-Request-Id", id)
	if s.handle != nil && s.handle(s, w, r) {
		return
	}
	w.Header().Set("Kumquatgw-Response-Stamp", "stamp."+s.id)
	fmt.Fprintf(w, "%s %s %s", s.id, s.m.service, r.RequestURI)
}
