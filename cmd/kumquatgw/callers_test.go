package main_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// closeRaceWindow bounds the race between a call and the node closing the connection: a
// call may stay unread if its connection ends within that time after its last byte.
const closeRaceWindow = 200 * time.Millisecond

type (
	// callerProfile is the behaviour of a caller.
	callerProfile struct {
		// keepAlive callers reuse their connection; ignoresClose ones go on with it even
		// after the node has announced that it closes it.
		keepAlive, ignoresClose bool
		// pipelined callers send two calls at once.
		pipelined bool
		// chunked callers send their body in chunks, without a content-length; slow ones
		// send the body and read the response in small pieces.
		chunked, slow bool
		// body and answer are the sizes of the request and response bodies.
		body, answer int
		// minWork and maxWork bound the processing time of a call, in milliseconds.
		minWork, maxWork int
		// pause is the time between calls and between connections.
		pause time.Duration
	}

	// outcomes counts how calls ended.
	outcomes struct {
		mu sync.Mutex
		// complete calls got the upstream's response, refused ones a 503 or 408 of the
		// node's, unknown ones a 504; unconnected counts failed connects, and crossed the
		// unread calls that crossed the node's close of the connection.
		complete, refused, unknown, unconnected, crossed int
		// failures describes each call without a correct response. A call that ran although
		// it was refused is also counted in refused.
		failures []string
	}

	// callers is a group of callers of one entry.
	callers struct {
		outcomes
		f     *fleet
		entry string
		stop  atomic.Bool
		group sync.WaitGroup
		// lastID is the number in the last call's id.
		lastID atomic.Int64
	}

	// sentCall is a call and the time when its request was sent.
	sentCall struct {
		id string
		at time.Time
	}
)

// callers returns an empty group of callers.
func (f *fleet) callers(entry string) *callers { return &callers{f: f, entry: entry} }

// add starts callers that call until end is called.
func (c *callers) add(count int, p callerProfile) {
	for range count {
		c.group.Go(func() { c.run(p) })
	}
}

// end stops the callers, waits for them and returns the outcomes.
func (c *callers) end() *outcomes {
	c.stop.Store(true)
	c.group.Wait()
	return &c.outcomes
}

// run opens one connection after another until the group ends.
func (c *callers) run(p callerProfile) {
	for !c.stop.Load() {
		conn, err := net.DialTimeout("tcp", c.entry, time.Second)
		if err != nil {
			c.withLock(func(o *outcomes) { o.unconnected++ })
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.runConnection(conn, p)
		_ = conn.Close()
		time.Sleep(p.pause)
	}
}

// refusalBackoff is a caller's delay after a response with status 503.
const refusalBackoff = 10 * time.Millisecond

// runConnection sends calls over one connection and reads their responses.
func (c *callers) runConnection(conn net.Conn, p callerProfile) {
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	var source io.Reader = conn
	if p.slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		source = &slowReader{conn}
	}
	r := bufio.NewReaderSize(source, 4096)
	for first := true; first || p.keepAlive && !c.stop.Load(); first = false {
		calls := 1
		if p.pipelined {
			calls = 2
		}
		var out bytes.Buffer
		list := make([]sentCall, calls)
		for i := range list {
			list[i].id = fmt.Sprintf("w%d", c.lastID.Add(1))
			c.write(&out, list[i].id, p)
		}
		err := c.send(conn, out.Bytes(), p)
		for i := range list {
			list[i].at = time.Now()
		}
		requestSent := err == nil
		closes := false
		for i, s := range list {
			closes, err = c.readResponse(r, s, p)
			if err != nil {
				c.recordBroken(list[i:], p, err, requestSent, first)
				return
			}
		}
		if closes && !p.ignoresClose {
			return
		}
		time.Sleep(p.pause)
	}
}

// write appends a request to out.
func (c *callers) write(out *bytes.Buffer, id string, p callerProfile) {
	ms := p.minWork
	if p.maxWork > p.minWork {
		ms += rand.IntN(p.maxWork - p.minWork)
	}
	method := "GET"
	if p.body > 0 {
		method = "POST"
	}
	fmt.Fprintf(out, "%s /?ms=%d&bytes=%d HTTP/1.1\r\nHost: store\r\n%s: %s\r\n", method, ms, p.answer, callIDHeader, id)
	switch {
	case p.chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for left := p.body; left > 0; left -= min(left, 1000) {
			n := min(left, 1000)
			fmt.Fprintf(out, "%x\r\n%s\r\n", n, strings.Repeat("b", n))
		}
		out.WriteString("0\r\n\r\n")
	case p.body > 0:
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", p.body, strings.Repeat("b", p.body))
	default:
		out.WriteString("\r\n")
	}
}

// send writes data to the connection, in up to 20 pieces for a slow caller with a body.
func (c *callers) send(conn net.Conn, data []byte, p callerProfile) error {
	piece := len(data)
	if p.slow && p.body > 0 {
		piece = len(data)/20 + 1
	}
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return err
		}
		if data = data[n:]; len(data) > 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// readResponse reads and counts the response to one call, and waits for refusalBackoff after
// a 503. closes reports whether the node announces that it closes the connection.
func (c *callers) readResponse(r *bufio.Reader, s sentCall, p callerProfile) (closes bool, err error) {
	if _, err := r.Peek(1); err != nil {
		return false, err
	}
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, fmt.Errorf("truncated response: %w", err)
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return false, fmt.Errorf("truncated response after %d bytes: %w", len(body), err)
	}
	if a.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(refusalBackoff)
	}
	c.withLock(func(o *outcomes) {
		want := fmt.Sprintf("%s %d ", s.id, p.body)
		switch {
		case a.StatusCode == http.StatusOK && strings.HasPrefix(string(body), want):
			o.complete++
		case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusRequestTimeout:
			if n := c.f.upstream.runCount(s.id); n > 0 {
				o.failures = append(o.failures, fmt.Sprintf("%s got %d, but ran %d times", s.id, a.StatusCode, n))
			}
			o.refused++
		case a.StatusCode == http.StatusGatewayTimeout:
			o.unknown++
		default:
			o.failures = append(o.failures, fmt.Sprintf("%s got %d %.60q, want %q", s.id, a.StatusCode, body, want))
		}
	})
	return a.Close, nil
}

// recordBroken counts calls whose connection ended before a complete response: as crossed
// if they never ran, no byte of a response came, and the connection ended before the whole
// request was sent or within closeRaceWindow after; as failed otherwise.
func (c *callers) recordBroken(list []sentCall, p callerProfile, err error, requestSent, first bool) {
	c.withLock(func(o *outcomes) {
		for _, s := range list {
			took := time.Since(s.at)
			runCount := c.f.upstream.runCount(s.id)
			truncated := strings.Contains(err.Error(), "truncated response")
			switch {
			case runCount == 0 && !truncated && (!requestSent || took < closeRaceWindow):
				o.crossed++
			default:
				o.failures = append(o.failures, fmt.Sprintf("%s (%+v, first on its connection: %v) ran %d times, error %v after %d ms, reset: %v", s.id, p, first, runCount, err, took.Milliseconds(), errors.Is(err, syscall.ECONNRESET)))
			}
		}
	})
}

// withLock calls f with the outcomes locked.
func (c *callers) withLock(f func(*outcomes)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.outcomes)
}

// report logs the outcomes and fails the test for failed calls, of which it prints at most
// ten.
func (o *outcomes) report(t *testing.T, what string) {
	t.Helper()
	t.Logf("%s: %d complete, %d refused, %d unknown, %d without a connection, %d crossed the close, %d failed", what, o.complete, o.refused, o.unknown, o.unconnected, o.crossed, len(o.failures))
	for i, l := range o.failures {
		if i == 10 {
			break
		}
		t.Errorf("%s: %s", what, l)
	}
}

// slowReader reads at most 4 KB every 2 ms.
type slowReader struct{ io.Reader }

func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Reader.Read(b[:min(len(b), 4096)])
}
