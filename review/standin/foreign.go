package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spoiledShare is the share of its answers behind which a faulty server sends further
	// bytes, and spoiledFor how long it does so.
	spoiledShare = 0.03
	spoiledFor   = 5 * time.Second
	// extraAfter is the longest time until the further bytes follow.
	extraAfter = 60 * time.Millisecond
)

// rawServer serves on connections of its own, so that it can send bytes behind an answer.
type rawServer struct {
	*Server
	listener net.Listener
	// faultyUntil is when the server ceases to be faulty, in nanoseconds since 1970.
	faultyUntil atomic.Int64
	extras      atomic.Int64
}

// StartRaw listens and begins to send heartbeats.
func (s *Server) StartRaw(record *Record) (*rawServer, error) {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	s.record, s.state, s.stop, s.Born = record, "ready", make(chan struct{}), time.Now()
	r := &rawServer{Server: s, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	go s.beat()
	return r, nil
}

// serve answers the requests of one connection, one after the other.
func (r *rawServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var writing sync.Mutex
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("Kumquatgw-Request-Id")
		answer := ""
		switch want := q.Header.Get("Kumquatgw-Expect-Instance"); {
		case q.URL.Path == "/health":
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKumquatgw-Instance-Id: %s\r\nKumquatgw-Server-Load: 1,0,%d\r\n\r\n", r.ID, r.Slots)
		case want != "" && want != r.ID:
			answer = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nKumquatgw-Request-Id: %s\r\nKumquatgw-Instance-Id: %s\r\n\r\n", id, r.ID)
		default:
			answer = r.run(q, id, string(body))
		}
		writing.Lock()
		_, err = io.WriteString(c, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if time.Now().UnixNano() < r.faultyUntil.Load() && rand.Float64() < spoiledShare {
			extra := extraBytes(answer)
			r.extras.Add(1)
			time.AfterFunc(rand.N(extraAfter), func() {
				writing.Lock()
				defer writing.Unlock()
				r.record.Printf("server %s sends %d further bytes behind its answer to %s", r.ID, len(extra), id)
				_, _ = io.WriteString(c, extra)
			})
		}
	}
}

// run runs a request and returns its answer.
func (r *rawServer) run(q *http.Request, id, body string) string {
	r.mu.Lock()
	r.runs = append(r.runs, Run{At: time.Now(), RequestID: id, Method: q.Method, URI: q.RequestURI, Body: body})
	r.mu.Unlock()
	r.record.Printf("server %s runs %s %s %s", r.ID, id, q.Method, q.RequestURI)
	time.Sleep(r.Work)
	data := "answer to " + id + " by " + r.ID + "\n"
	r.record.Printf("server %s answers %s with 200", r.ID, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nKumquatgw-Request-Id: %s\r\nKumquatgw-Response-Stamp: %s.%d\r\nKeep-Alive: timeout=10\r\nKumquatgw-Server-Load: 1,0,%d\r\n\r\n%s", len(data), id, r.ID, r.stamp.Add(1), r.Slots, data)
}

// extraBytes returns what a faulty server sends behind an answer: the answer once more, with one
// wrong byte in the name of the header that holds the request's id.
func extraBytes(answer string) string {
	return strings.Replace(answer, "Kumquatgw-Request-Id: ", "Kumquatgw-Request-Yd: ", 1)
}

// foreign lets half of the servers send further bytes behind some of their answers.
func foreign(w *World) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannotRun
	}
	w.Store = NewStore()
	w.Store.Serve(l)
	w.Store.Put("op/config", config(7, "huvo11a"))
	if w.Fleet, err = NewFleet(w.Root, w.Record, l.Addr().String(), []string{"huvo11a", "huvo11a", "huvo11a", "huvo11a"}); err != nil {
		return cannotRun
	}
	var servers []*rawServer
	for i, m := range w.Machines {
		if m.Start() != nil {
			return cannotRun
		}
		s := &Server{ID: fmt.Sprintf("i-%d-%d", i+1, time.Now().UnixNano()%100000), Service: m.Service, Version: "v1", Zone: m.Zone, Address: m.App(), Control: m.Control(), Slots: 6, Work: 40 * time.Millisecond}
		r, err := s.StartRaw(w.Record)
		if err != nil {
			return cannotRun
		}
		servers = append(servers, r)
	}
	if !AwaitReady(w.Machines, 15*time.Second) {
		return cannotRun
	}
	answers := make(chan []Answer, 2)
	send := func(method, path, prefix string) {
		answers <- w.Requests(method, "shop.example", path, prefix, 8*time.Millisecond, 9*time.Second, 2500*time.Millisecond, w.Machines)
	}
	go send("GET", "/browse/2f", "browse")
	go send("POST", "/order/2f", "order")
	time.Sleep(2 * time.Second)
	if w.Trouble {
		for _, s := range servers[:2] {
			s.faultyUntil.Store(time.Now().Add(spoiledFor).UnixNano())
			w.Record.Sayf("server %s sends further bytes behind %.0f of 100 of its answers", s.ID, spoiledShare*100)
		}
	}
	all := append(<-answers, <-answers...)
	extras := int64(0)
	for _, s := range servers {
		extras += s.extras.Load()
	}
	wrong := 0
	for _, a := range all {
		if a.Err == nil && a.Status == 200 && (a.Stamp == "" || !strings.HasPrefix(a.Body, "answer to "+a.ID+" by ")) {
			wrong++
			w.Record.Sayf("the client of %s gets the answer of another request: %q", a.ID, strings.TrimSpace(a.Body))
		}
	}
	w.Record.Sayf("%d of %d requests are served; servers sent further bytes %d times", countOK(all), len(all), extras)
	w.Record.Sayf("%d clients got the answer of another request", wrong)
	if countOK(all) < len(all)*9/10 {
		return cannotRun
	}
	if wrong > 0 {
		return broken
	}
	return held
}
