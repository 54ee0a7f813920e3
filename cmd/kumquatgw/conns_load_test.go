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

// crossing is how long after its last byte a call that met the node's own close may
// have gone unread.
const crossing = 200 * time.Millisecond

type (
	// manner is how a caller behaves.
	manner struct {
		// kept callers go on with their connection even if told that it closes.
		kept, obstinate bool
		// pipelined callers send two calls at once.
		pipelined bool
		// slow callers send their body in pieces, and take their answer in pieces.
		chunked, slow bool
		body, answer  int
		// least and most are how long a call works, in ms.
		least, most int
		pause       time.Duration
	}

	// tally is how calls ended.
	tally struct {
		mu sync.Mutex
		// whole calls have the upstream's answer, refused ones a whole one of the
		// node's, turned away ones no connection, and crossed ones met the close
		// unread.
		whole, refused, unknown, away, crossed int
		lost                                   []string
	}

	// crowd is callers at work.
	crowd struct {
		tally
		f     *fleet
		entry string
		stop  atomic.Bool
		group sync.WaitGroup
		next  atomic.Int64
	}

	sent struct {
		id string
		at time.Time
	}
)

func (f *fleet) crowd(entry string) *crowd { return &crowd{f: f, entry: entry} }

// add lets callers of a manner come.
func (c *crowd) add(count int, m manner) {
	for range count {
		c.group.Go(func() { c.run(m) })
	}
}

// end has the callers stop and waits for them.
func (c *crowd) end() *tally {
	c.stop.Store(true)
	c.group.Wait()
	return &c.tally
}

func (c *crowd) run(m manner) {
	for !c.stop.Load() {
		conn, err := net.DialTimeout("tcp", c.entry, time.Second)
		if err != nil {
			c.count(func(t *tally) { t.away++ })
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.converse(conn, m)
		_ = conn.Close()
		time.Sleep(m.pause)
	}
}

// backOff is how long a refused caller waits.
const backOff = 10 * time.Millisecond

func (c *crowd) converse(conn net.Conn, m manner) {
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	var source io.Reader = conn
	if m.slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		source = &slowly{conn}
	}
	r := bufio.NewReaderSize(source, 4096)
	for first := true; first || m.kept && !c.stop.Load(); first = false {
		calls := 1
		if m.pipelined {
			calls = 2
		}
		var out bytes.Buffer
		list := make([]sent, calls)
		for i := range list {
			list[i].id = fmt.Sprintf("w%d", c.next.Add(1))
			c.write(&out, list[i].id, m)
		}
		err := c.send(conn, out.Bytes(), m)
		for i := range list {
			list[i].at = time.Now()
		}
		whole := err == nil
		closes := false
		for i, s := range list {
			closes, err = c.take(r, s, m)
			if err != nil {
				c.broken(list[i:], m, err, whole, first)
				return
			}
		}
		if closes && !m.obstinate {
			return
		}
		time.Sleep(m.pause)
	}
}

func (c *crowd) write(out *bytes.Buffer, id string, m manner) {
	ms := m.least
	if m.most > m.least {
		ms += rand.IntN(m.most - m.least)
	}
	method := "GET"
	if m.body > 0 {
		method = "POST"
	}
	fmt.Fprintf(out, "%s /?ms=%d&bytes=%d HTTP/1.1\r\nHost: store\r\n%s: %s\r\n", method, ms, m.answer, workHeader, id)
	switch {
	case m.chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for left := m.body; left > 0; left -= min(left, 1000) {
			n := min(left, 1000)
			fmt.Fprintf(out, "%x\r\n%s\r\n", n, strings.Repeat("b", n))
		}
		out.WriteString("0\r\n\r\n")
	case m.body > 0:
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", m.body, strings.Repeat("b", m.body))
	default:
		out.WriteString("\r\n")
	}
}

func (c *crowd) send(conn net.Conn, data []byte, m manner) error {
	piece := len(data)
	if m.slow && m.body > 0 {
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

func (c *crowd) take(r *bufio.Reader, s sent, m manner) (closes bool, err error) {
	if _, err := r.Peek(1); err != nil {
		return false, err
	}
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, fmt.Errorf("torn: %w", err)
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return false, fmt.Errorf("torn after %d bytes: %w", len(body), err)
	}
	if a.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(backOff)
	}
	c.count(func(t *tally) {
		want := fmt.Sprintf("%s %d ", s.id, m.body)
		switch {
		case a.StatusCode == http.StatusOK && strings.HasPrefix(string(body), want):
			t.whole++
		case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusRequestTimeout:
			if n := c.f.upstream.ran(s.id); n > 0 {
				t.lost = append(t.lost, fmt.Sprintf("%s was told %d, and ran %d times", s.id, a.StatusCode, n))
			}
			t.refused++
		case a.StatusCode == http.StatusGatewayTimeout:
			t.unknown++
		default:
			t.lost = append(t.lost, fmt.Sprintf("%s got %d %.60q, want %q", s.id, a.StatusCode, body, want))
		}
	})
	return a.Close, nil
}

// broken judges calls without an answer: those that no node passed on and that met
// the close right after they were sent have crossed it.
func (c *crowd) broken(list []sent, m manner, err error, whole, first bool) {
	c.count(func(t *tally) {
		for _, s := range list {
			took := time.Since(s.at)
			ran := c.f.upstream.ran(s.id)
			torn := strings.Contains(err.Error(), "torn")
			switch {
			case ran == 0 && !torn && (!whole || took < crossing):
				t.crossed++
			default:
				t.lost = append(t.lost, fmt.Sprintf("%s (%+v, first %v) ran %d, %v after %d ms, reset %v", s.id, m, first, ran, err, took.Milliseconds(), errors.Is(err, syscall.ECONNRESET)))
			}
		}
	})
}

func (c *crowd) count(f func(*tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.tally)
}

// report tells how the calls ended, and fails for each that was lost.
func (r *tally) report(t *testing.T, what string) {
	t.Helper()
	t.Logf("%s: %d whole, %d refused, %d unknown, %d turned away, %d crossed the close, %d lost", what, r.whole, r.refused, r.unknown, r.away, r.crossed, len(r.lost))
	for i, l := range r.lost {
		if i == 10 {
			break
		}
		t.Errorf("%s: %s", what, l)
	}
}

// slowly reads in small pieces.
type slowly struct{ io.Reader }

func (s *slowly) Read(b []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Reader.Read(b[:min(len(b), 4096)])
}
