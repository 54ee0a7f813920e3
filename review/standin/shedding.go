package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// greyShare is the share of its requests that a grey server sheds, and secondShare the share
	// of its answers that a faulty server sends a second time.
	greyShare   = 0.55
	secondShare = 0.03
)

// shedServer writes its answers itself, so that it can send one a second time.
type shedServer struct {
	*Server
	listener net.Listener
	// greyUntil and faultyUntil are when the server ceases to shed and to send second answers, in
	// nanoseconds since 1970.
	greyUntil, faultyUntil atomic.Int64
	seconds                atomic.Int64
}

// StartShedding listens and begins to send heartbeats.
func (s *Server) StartShedding(record *Record) (*shedServer, error) {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	s.record, s.state, s.stop, s.Born = record, "ready", make(chan struct{}), time.Now()
	r := &shedServer{Server: s, listener: l}
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

// isBefore reports whether a time, in nanoseconds since 1970, is still to come.
func isBefore(end *atomic.Int64) bool { return time.Now().UnixNano() < end.Load() }

// serve answers the requests of one connection, one after the other. A second answer comes late, at
// the point where the next one is expected.
func (r *shedServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	second, secondOf := "", ""
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
		if second != "" {
			r.seconds.Add(1)
			r.record.Printf("server %s sends its answer to %s a second time, as it has read %s", r.ID, secondOf, id)
			if _, err := io.WriteString(c, second); err != nil {
				return
			}
			second = ""
		}
		answer := r.answer(q, id, string(body))
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if isBefore(&r.faultyUntil) && q.URL.Path != "/health" && rand.Float64() < secondShare {
			second, secondOf = answer, id
		}
	}
}

// answer returns the answer to a request, which it runs unless the server sheds it.
func (r *shedServer) answer(q *http.Request, id, body string) string {
	want := q.Header.Get("Kumquatgw-Expect-Instance")
	switch {
	case q.URL.Path == "/health":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKumquatgw-Instance-Id: %s\r\nKumquatgw-Server-Load: 1,0,%d\r\n\r\n", r.ID, r.Slots)
	case want != "" && want != r.ID:
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nKumquatgw-Instance-Id: %s\r\n\r\n", r.ID)
	case isBefore(&r.greyUntil) && rand.Float64() < greyShare:
		// The answer of "fleetbench wire": a server sheds.
		r.record.Printf("server %s sheds %s with 503", r.ID, id)
		return "HTTP/1.1 503 Service Unavailable\r\nKumquatgw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	r.mu.Lock()
	r.runs = append(r.runs, Run{At: time.Now(), RequestID: id, Method: q.Method, URI: q.RequestURI, Body: body})
	r.mu.Unlock()
	r.record.Printf("server %s runs %s %s %s", r.ID, id, q.Method, q.RequestURI)
	time.Sleep(r.Work)
	data := "answer to " + id + " by " + r.ID + "\n"
	r.record.Printf("server %s answers %s with 200", r.ID, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nKumquatgw-Request-Id: %s\r\nKumquatgw-Response-Stamp: %s.%d\r\nKeep-Alive: timeout=10\r\nKumquatgw-Server-Load: 1,0,%d\r\n\r\n%s", len(data), id, r.ID, r.stamp.Add(1), r.Slots, data)
}
