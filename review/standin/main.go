// Command standin plays the cases of the review against the project's own program.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// World is what a case runs in.
type World struct {
	*Fleet
	Store   *Store
	Record  *Record
	Trouble bool
	Servers []*Server
	Root    string
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE ROOT FOLDER")
		os.Exit(cannotRun)
	}
	cases := map[string]func(*World) int{
		"forgotten": forgotten, "prefix": prefix,
		// No cases of this review; KNOWN-RED.txt names them.
		"secondrun": secondrun, "foreign": foreign, "rolledback": rolledback,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(cannotRun)
	}
	record, err := NewRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(cannotRun)
	}
	w := &World{Record: record, Root: os.Args[2], Trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ended := make(chan int, 1)
	go func() { ended <- run(w) }()
	result := cannotRun
	select {
	case result = <-ended:
	case <-signals:
	case <-time.After(110 * time.Second):
		record.Sayf("the case takes too long")
	}
	End()
	if w.Fleet != nil {
		w.Fleet.Close()
	}
	record.Sayf("exit status %d", result)
	os.Exit(result)
}

// Begin starts the store, the nodes and a server beside each, and waits until the fleet serves.
// services are those of the machines; only the first now machines are started.
func (w *World) Begin(config any, services []string, now int, work time.Duration) error {
	if err := w.beginStore(config, services); err != nil {
		return err
	}
	if err := w.Add(0, now, "v1", work, ""); err != nil {
		return err
	}
	if !AwaitReady(w.Machines[:now], 15*time.Second) {
		return fmt.Errorf("the nodes don't become ready")
	}
	return nil
}

// BeginEmpty starts the store and the nodes, but no servers.
func (w *World) BeginEmpty(config any, services []string) error {
	if err := w.beginStore(config, services); err != nil {
		return err
	}
	for _, m := range w.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	return nil
}

func (w *World) beginStore(config any, services []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.Store = NewStore()
	w.Store.onWrite = func(key string, deleted bool) { w.Record.Printf("store: %s is written (deleted: %v)", key, deleted) }
	w.Store.Serve(l)
	w.Store.Put("op/config", config)
	w.Fleet, err = NewFleet(w.Root, w.Record, l.Addr().String(), services)
	return err
}

// Add starts the machines from the first to before the last, each with a server of the version
// that is slow on the given path, if there is one.
func (w *World) Add(first, last int, version string, work time.Duration, slowPath string) error {
	for _, m := range w.Machines[first:last] {
		if err := m.Start(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i, m := range w.Machines[first:last] {
		s := &Server{
			ID: fmt.Sprintf("i-%d-%d", first+i+1, time.Now().UnixNano()%100000), Service: m.Service, Version: version, Zone: m.Zone,
			Address: m.App(), Control: m.Control(), Slots: 6, Work: work, SlowPath: slowPath, SlowTimes: slowTimes,
		}
		if err := s.Start(w.Record); err != nil {
			return err
		}
		w.Servers = append(w.Servers, s)
		w.Record.Printf("server %s (%s %s) starts beside %s", s.ID, s.Service, version, m.Name)
	}
	return nil
}

// Requests sends requests for the time given, one each gap, to all machines in turn, and
// returns the answers.
func (w *World) Requests(method, host, path, prefix string, gap, length, timeout time.Duration, machines []*Machine) []Answer {
	answers := make(chan Answer)
	count := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
		m := machines[count%len(machines)]
		count++
		id := fmt.Sprintf("%s%05d", prefix, count)
		go func() { answers <- Send(m, w.Record, method, host, path, id, "", timeout) }()
	}
	var list []Answer
	for range count {
		list = append(list, <-answers)
	}
	return list
}

// CloseServers ends all servers.
func (w *World) CloseServers() {
	for _, s := range w.Servers {
		s.Close()
	}
	w.Servers = nil
}

func countOK(list []Answer) int {
	n := 0
	for _, a := range list {
		if a.Status == 200 && a.Stamp != "" {
			n++
		}
	}
	return n
}
