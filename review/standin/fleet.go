package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that all machines of a run share.
type ports struct{ inbound, outbound, ready, control, app, internal int }

// Machine is one loopback address with a node's process.
type Machine struct {
	Name, IP, Zone, Service string
	ports                   ports
	folder, root, store     string
	template                string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	Started time.Time
}

// starting is held while a process is started; once ending is set, none is.
var (
	starting sync.Mutex
	ending   bool
)

// End lets no further process be started.
func End() {
	starting.Lock()
	defer starting.Unlock()
	ending = true
}

// Fleet is the machines of a run.
type Fleet struct {
	Machines []*Machine
	Folder   string
	record   *Record
}

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	for range 50 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return ports{}, err
		}
		base := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if base > 60000 {
			continue
		}
		if isFree(ips, base, 24) {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 8}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func isFree(ips []string, base, count int) bool {
	for _, ip := range ips {
		for p := base; p < base+count; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// NewFleet returns machines with one address each; services holds the service of each.
func NewFleet(root string, record *Record, store string, services []string) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy/node.ini"))
	if err != nil {
		return nil, err
	}
	var ips []string
	for i := range services {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Folder: folder, record: record}
	for i, s := range services {
		zone := string(rune('a' + i%4))
		f.Machines = append(f.Machines, &Machine{
			Name: fmt.Sprintf("sidecar-zone-%s-%d", zone, i/4+1), IP: ips[i], Zone: "zone-" + zone, Service: s,
			ports: p, folder: folder, root: root, store: store, template: string(template),
		})
	}
	return f, nil
}

func (m *Machine) at(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Outbound, Control and App are addresses of the machine.
func (m *Machine) Outbound() string { return m.at(m.ports.outbound) }

// Control is where the machine's server sends its heartbeats.
func (m *Machine) Control() string { return m.at(m.ports.control) }

// App is the address of the machine's server.
func (m *Machine) App() string { return m.at(m.ports.app) }

// settings fills in the template of a node's settings as DEPLOY.md tells.
func (m *Machine) settings() string {
	values := map[string]string{
		"NodeName": m.Name, "Zone": m.Zone, "Region": "region", "Service": m.Service, "Ip": m.IP,
		"Limits.LinkMbps": "1000.0", "Limits.CpuShare": "0.32", "Limits.MemoryMb": "284",
		"Listen.Outbound": m.Outbound(), "Listen.Control": m.Control(), "Listen.Inbound": m.at(m.ports.inbound), "Listen.Ready": m.at(m.ports.ready),
		"InternalPorts.0": fmt.Sprint(m.ports.internal), "Bounds.Grace": "6s", "Platform.Address": m.store,
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetSlack": "56",
	}
	text := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`).ReplaceAllString(m.template, "")
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

// Start starts the node's process with the command of the deploy file.
func (m *Machine) Start() error {
	file := filepath.Join(m.folder, m.Name+".conf")
	if err := os.WriteFile(file, []byte(m.settings()), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(m.root, "target/kumquatgw"), "node", "--settings", file)
	c.Dir, c.Stdout, c.Stderr = m.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "KUMQUATGW_BOOT=" + file}
	starting.Lock()
	defer starting.Unlock()
	if ending {
		return fmt.Errorf("the case is ending")
	}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.process, m.done, m.Started = c, done, time.Now()
	m.mu.Unlock()
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the node's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Ended reports whether the process has ended.
func (m *Machine) Ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// IsReady asks the node whether it is ready.
func (m *Machine) IsReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.at(m.ports.ready) + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes of the machines are ready.
func AwaitReady(machines []*Machine, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range machines {
			if m.IsReady() {
				ready++
			}
		}
		if ready == len(machines) {
			return true
		}
	}
	return false
}

// Close ends all processes.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		m.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	} else {
		fmt.Println("logs:", f.Folder)
	}
}

// Answer is what a client got for one request.
type Answer struct {
	Sent, Ended time.Time
	ID          string
	Status      int
	Stamp, Body string
	RetryAfter  string
	Err         error
	// From is the machine beside the client.
	From *Machine
}

// Send sends one request through the node beside the client on a connection of its own.
func Send(m *Machine, record *Record, method, host, path, id, body string, timeout time.Duration) Answer {
	a := Answer{Sent: time.Now(), ID: id, From: m}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.Outbound()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Kumquatgw-Request-Id", id)
	r.Header.Set("Kumquatgw-Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	record.Printf("client sends %s %s %s to %s", id, method, path, m.Name)
	resp, err := client.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Status, a.Stamp, a.Body, a.RetryAfter = resp.StatusCode, resp.Header.Get("Kumquatgw-Response-Stamp"), string(data), resp.Header.Get("Retry-After")
	}
	a.Ended, a.Err = time.Now(), err
	record.Printf("client gets %s: status %d, stamp %q, error %v", id, a.Status, a.Stamp, err)
	return a
}
