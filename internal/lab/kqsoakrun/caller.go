package kqsoakrun

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
)

const (
	// callDeadline is longer than any route lets a call take.
	callDeadline = routeTimeout + 5*time.Second
	dialTimeout  = time.Second
	minWork      = 5 * time.Millisecond
	maxWork      = time.Second
	// maxBody bounds the size of a request body in bytes.
	maxBody = 4 << 10
	// meanPause is the mean pause between the end of a caller's call and its next call.
	meanPause = 30 * time.Millisecond

	// reuseConn uses one connection until it is closed; connPerCall opens a new one for
	// each call.
	reuseConn   connMode = "keeper"
	connPerCall connMode = "opener"
)

var errNoAnswer = errors.New("body is not an upstream's answer")

type (
	// connMode identifies how a caller uses its connections.
	connMode string

	// caller sends calls one after another. uses counts the calls on the open
	// connection.
	caller struct {
		soak     *Soak
		name     string
		connMode connMode
		random   *rand.Rand
		serial   int

		conn   net.Conn
		reader *bufio.Reader
		node   int
		uses   int
	}
)

// run sends calls until ctx ends, and then finishes the call in flight.
func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		if !c.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.call(routes[c.random.IntN(len(routes))])
		if c.connMode == connPerCall {
			c.closeConn()
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanPause))))
	}
}

// connect connects to a random node unless a connection is open, and reports whether
// there is one. A refused connection carried no call, so it is not recorded.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.node, c.uses = c.random.IntN(len(c.soak.nodes)), 0
	conn, err := net.DialTimeout("tcp", c.soak.nodes[c.node].address("entry"), dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// callSucceeds sends one call to a node and reports whether it was answered with status
// 200.
func (c *caller) callSucceeds(node int, r route) bool {
	call, ok := c.callNode(node, r)
	return ok && call.AnswerRead && call.Status == http.StatusOK
}

// callNode sends one call to a node over a new connection. It reports false if the node
// accepts no connection.
func (c *caller) callNode(node int, r route) (kqsoakcheck.Call, bool) {
	c.closeConn()
	conn, err := net.DialTimeout("tcp", c.soak.nodes[node].address("entry"), dialTimeout)
	if err != nil {
		return kqsoakcheck.Call{}, false
	}
	c.conn, c.reader, c.node, c.uses = conn, bufio.NewReader(conn), node, 0
	call := c.call(r)
	c.closeConn()
	return call, true
}

// call sends one call on the open connection and records its outcome. It closes the
// connection unless that can be reused.
func (c *caller) call(r route) kqsoakcheck.Call {
	c.serial++
	c.uses++
	call := kqsoakcheck.Call{
		WorkID: fmt.Sprintf("%s-%d", c.name, c.serial), Node: c.node, Route: r.host + r.path, Service: string(r.service), Idempotent: r.idempotent,
		ConnMode: string(c.connMode), ConnUses: c.uses, Timeout: routeTimeout, Sent: c.soak.now(),
	}
	c.soak.checker.CallSent(call.WorkID, call.Idempotent, call.Node, call.Sent)
	request := c.request(r, call.WorkID)
	_ = c.conn.SetDeadline(time.Now().Add(callDeadline))
	_, err := io.WriteString(c.conn, request)
	call.RequestSent = err == nil
	reusable := false
	if err == nil {
		reusable, err = c.readAnswer(&call)
	}
	call.Ended = c.soak.now()
	if err != nil {
		call.Error = err.Error()
	}
	c.soak.checker.Call(call)
	if !reusable {
		c.closeConn()
	}
	return call
}

// request returns a GET request for an idempotent route, otherwise a POST request with a
// body of random size. The work time is log-uniform between minWork and maxWork.
func (c *caller) request(r route, workID string) string {
	ms := float64(minWork.Milliseconds()) * math.Pow(float64(maxWork/minWork), c.random.Float64())
	head := fmt.Sprintf("Host: %s\r\n%s: %s\r\n%s: %d\r\n", r.host, kqupstream.HeaderWorkID, workID, kqupstream.HeaderWorkMS, int(ms))
	if r.idempotent {
		return "GET " + r.path + " HTTP/1.1\r\n" + head + "\r\n"
	}
	body := strings.Repeat("x", c.random.IntN(maxBody))
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", r.path, head, len(body), body)
}

// readAnswer reads an answer into the call and reports whether the connection can be
// reused.
func (c *caller) readAnswer(call *kqsoakcheck.Call) (bool, error) {
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, fmt.Errorf("read head: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return false, fmt.Errorf("read body: %w", err)
	}
	call.AnswerRead, call.Status = true, a.StatusCode
	var said kqupstream.Condition
	if text := a.Header.Get(kqupstream.HeaderCondition); text != "" {
		if err := json.Unmarshal([]byte(text), &said); err != nil {
			return false, fmt.Errorf("read condition: %w", err)
		}
	}
	call.Told = kqsoakcheck.Told{Upstream: string(said.Upstream), Limited: said.Limited, Leaving: said.Leaving}
	call.Result, call.Reason = a.Header.Get(kqcall.HeaderResult), a.Header.Get(kqcall.HeaderReason)
	if call.Result == string(kqcall.Answered) {
		call.AnswerIDs = []string{a.Header.Get(kqupstream.HeaderWorkID)}
		if words := strings.Fields(string(body)); a.StatusCode == http.StatusOK && len(words) == 3 {
			call.AnswerIDs = append(call.AnswerIDs, words[2])
		} else if a.StatusCode == http.StatusOK {
			return false, fmt.Errorf("body %.80q: %w", body, errNoAnswer)
		}
	}
	if c.reader.Buffered() > 0 {
		call.AnswerIDs = append(call.AnswerIDs, "more bytes than one answer")
	}
	return !a.Close, nil
}
