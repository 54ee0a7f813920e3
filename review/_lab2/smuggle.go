package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// runSmuggle sends pairs of requests on one connection: a GET with a body, and a POST whose body is a text
// that looks like a request. The trouble is that the lines of the first request's head end with a line
// feed alone, which the node takes for the ends of lines.
func runSmuggle(root string, rec *Recorder, trouble bool) {
	store := newStore(2 * time.Second)
	f := newKauri(root, rec, store)
	data, to := config(1)
	store.Put("op/config", data)
	rec.Log("operator: version 1 acknowledged; /moved/ leads to %s", to)
	var unasked, asked atomic.Int64
	for i, m := range f.machines {
		m.StartServer(fmt.Sprintf("i-%d-%x", i, time.Now().UnixNano()%0xffffff), func(s *Server, w http.ResponseWriter, r *http.Request) bool {
			body, _ := io.ReadAll(r.Body)
			id := r.Header.Get("Kumquatgw-Request-Id")
			rec.Log("server %s runs %s %s, id %s, body of %d bytes", s.id, r.Method, r.RequestURI, id, len(body))
			if strings.HasPrefix(id, "inner") {
				unasked.Add(1)
				rec.Log("BROKEN: no client sent the request with id %s; its text stands in the body of another one", id)
			} else {
				asked.Add(1)
			}
			time.Sleep(20 * time.Millisecond)
			return false
		})
		m.StartNode()
	}
	if !f.AwaitReady(20 * time.Second) {
		fail("the nodes are not ready")
	}
	time.Sleep(3 * time.Second)
	answered := 0
	for i := range 20 {
		m := f.machines[i%len(f.machines)]
		head := func(line, id string, length int) string {
			return fmt.Sprintf("%s HTTP/1.1\r\nHost: shop.example\r\nKumquatgw-Request-Id: %s%04d\r\nKumquatgw-Request-Timeout-Ms: 2500\r\nContent-Length: %d\r\n\r\n", line, id, i, length)
		}
		inner := fmt.Sprintf("GET /moved/inner HTTP/1.1\r\nHost: shop.example\r\nKumquatgw-Request-Id: inner%04d\r\nKumquatgw-Request-Timeout-Ms: 2500\r\n\r\n", i)
		second := head("POST /path0/second", "second", len(inner)) + inner
		hidden := len(second) - len(inner)
		// The first body has an empty line, which ends at the length of the second request's head.
		body := strings.Repeat("x", hidden-4) + "\r\n\r\n" + strings.Repeat("y", 300)
		firstHead := head("GET /moved/first", "first0", len(body))
		if trouble {
			firstHead = strings.ReplaceAll(firstHead, "\r\n", "\n")
		}
		c, err := net.DialTimeout("tcp", m.Entry(), time.Second)
		if err != nil {
			fail("%v", err)
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		rec.Log("client at %s sends GET /moved/first (id first0%04d) and POST /path0/second (id second%04d)", m.name, i, i)
		_, _ = io.WriteString(c, firstHead+body+second)
		r := bufio.NewReader(c)
		for range 2 {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				rec.Log("client: %v", err)
				break
			}
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			rec.Log("client gets %d, id %s, %d bytes", resp.StatusCode, resp.Header.Get("Kumquatgw-Request-Id"), len(text))
			if resp.StatusCode == 200 {
				answered++
			}
		}
		_ = c.Close()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	fmt.Printf("40 requests sent, %d answered with 200, %d run, and besides %d that nobody sent\n", answered, asked.Load(), unasked.Load())
	rec.Log("40 requests sent, %d answered with 200, %d run, and besides %d that nobody sent", answered, asked.Load(), unasked.Load())
	switch {
	case unasked.Load() > 0:
		finish(1)
	case answered == 0:
		fail("no request was answered")
	}
	finish(0)
}
