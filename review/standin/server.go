package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for one application server.
type Server struct {
	ID, Service, Version, Zone, Address, Control string
	Slots                                        int
	// Work is how long a request takes.
	Work time.Duration
	// SlowPath is the prefix of the paths on which a bad version takes SlowTimes as long; empty
	// means none.
	SlowPath  string
	SlowTimes int
	// Born is when the server started.
	Born time.Time

	record  *Record
	mu      sync.Mutex
	runs    []Run
	running atomic.Int64
	seq     uint64
	state   string
	stop    chan struct{}
	http    *http.Server
	beating sync.Once
	stamp   atomic.Uint64
}

// Run is one request that a server has begun to run.
type Run struct {
	At                        time.Time
	RequestID, Method, URI    string
	Caller, Timeout, Instance string
	Body                      string
	Bad                       bool
}

// Start listens and begins to send heartbeats.
func (s *Server) Start(record *Record) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.record, s.state, s.stop, s.Born = record, "ready", make(chan struct{}), time.Now()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	return nil
}

// beat sends a heartbeat every 1.5 s until the server stops to do so.
func (s *Server) beat() {
	for {
		s.sendBeat()
		select {
		case <-s.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (s *Server) sendBeat() {
	s.mu.Lock()
	s.seq++
	body := map[string]any{
		"Address": s.Address, "born": s.Born.UnixMilli(),
		"Info":   map[string]any{"Service": s.Service, "Version": s.Version, "Zone": s.Zone, "Slots": s.Slots},
		"Status": map[string]any{"State": s.state, "SeqNo": s.seq, "ColdLeft": "0ms"},
	}
	s.mu.Unlock()
	_ = s.call("instances.heartbeat", body)
}

// Drain makes the server report that it is draining from now on.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.sendBeat()
}

// Deregister says that the server leaves, without a report that it is draining before. It
// returns when the node has acknowledged it.
func (s *Server) Deregister() (time.Time, error) {
	s.mu.Lock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.mu.Unlock()
	err := s.call("instances.deregister", map[string]any{"born": s.Born.UnixMilli()})
	return time.Now(), err
}

func (s *Server) call(name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.Control+"/-/rpc?call="+name+"&of="+s.ID, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.ReadAll(resp.Body)
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Close ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.mu.Unlock()
	_ = s.http.Close()
}

// Runs returns the requests that the server has begun to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Kumquatgw-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.Slots))
	if r.URL.Path == "/health" {
		h.Set("Kumquatgw-Instance-Id", s.ID)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Kumquatgw-Request-Id")
	h.Set("Kumquatgw-Request-Id", id)
	if want := r.Header.Get("Kumquatgw-Expect-Instance"); want != "" && want != s.ID {
		h.Set("Kumquatgw-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	run := Run{At: time.Now(), RequestID: id, Method: r.Method, URI: r.RequestURI, Caller: r.Header.Get("Kumquatgw-Caller-Service"), Timeout: r.Header.Get("Kumquatgw-Request-Timeout-Ms"), Instance: r.Header.Get("Kumquatgw-Expect-Instance"), Body: string(body)}
	work := s.Work
	if run.Bad = s.SlowPath != "" && strings.HasPrefix(r.URL.Path, s.SlowPath); run.Bad {
		work *= time.Duration(s.SlowTimes)
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.record.Printf("server %s runs %s %s %s from %s", s.ID, id, r.Method, r.RequestURI, run.Caller)
	time.Sleep(work)
	data := []byte("answer to " + id + " by " + s.ID + "\n")
	h.Set("Kumquatgw-Response-Stamp", fmt.Sprintf("%s.%d", s.ID, s.stamp.Add(1)))
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(data)
}
