package main_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdMemory is the memory setting of the nodes in the crowd tests, in bytes. No node may
	// hold more.
	crowdMemory = 128 << 20
	// crowdMaxBody is their max_body setting in bytes.
	crowdMaxBody = 16 << 20
	// crowdDescriptors is their limit of descriptors. They may use maxCrowdDescriptors: the others
	// are kept for peers, health checks, the platform's service, the upstream and the log.
	crowdDescriptors, maxCrowdDescriptors = 1024, 960
	// clientTimeout ends the writing of a client whose node has stopped reading.
	clientTimeout = 15 * time.Second
	// ordinaryTimeout bounds the attempts of an ordinary call.
	ordinaryTimeout = time.Minute
	// settleTime is how long the unread bytes of a crowd must stay the same until they count as
	// bytes that the node does not read.
	settleTime = time.Second
	// stateListen is the state of a listening socket in /proc/net/tcp.
	stateListen = "0A"
)

type (
	// crowd is clients that misbehave at one listener of a fleet, all in the same way.
	crowd struct {
		t       *testing.T
		address string
		clients []net.Conn
		// sent is the number of bytes that the clients have written.
		sent atomic.Int64
	}

	// countedConn counts what a client writes.
	countedConn struct {
		net.Conn
		sent *atomic.Int64
	}

	// socket is a row of /proc/net/tcp.
	socket struct {
		localPort, remotePort, state string
		// unsent and unread are the lengths of the queues in bytes. Unread is the number of
		// connections to accept if the socket listens.
		unsent, unread int
	}
)

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// newCrowdFleet starts a fleet whose nodes have the limits of the crowd tests, with readiness probes
// and the admin server at the returned addresses of the front node.
func newCrowdFleet(t *testing.T) (f *fleet, ready, admin string) {
	t.Helper()
	t.Setenv(descriptorsVariable, strconv.Itoa(crowdDescriptors))
	ready, admin = freeAddress(t), freeAddress(t)
	limits := fmt.Sprintf("memory = %d\n[call]\nmax_body = %d\n", crowdMemory, crowdMaxBody)
	return newFleet(t, "ready_listen = "+ready+"\n"+limits+"[admin]\nlisten = "+admin+"\n", limits), ready, admin
}

// openCrowd connects count clients to the address.
func openCrowd(t *testing.T, address string, count int) *crowd {
	t.Helper()
	c := &crowd{t: t, address: address}
	for i := range count {
		conn, err := net.DialTimeout("tcp", address, clientTimeout)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		c.clients = append(c.clients, countedConn{conn, &c.sent})
	}
	return c
}

// act has all clients act at once and waits until they have. A client whose connection is closed or
// not read any more stops acting.
func (c *crowd) act(client func(net.Conn) error) {
	var group sync.WaitGroup
	for _, conn := range c.clients {
		group.Go(func() {
			_ = conn.SetDeadline(time.Now().Add(clientTimeout))
			_ = client(conn)
		})
	}
	group.Wait()
}

// leave closes the clients' connections.
func (c *crowd) leave() {
	for _, conn := range c.clients {
		_ = conn.Close()
	}
}

// assertTaken waits until the node reads no more, and fails the test unless it has accepted all
// clients and read at least the given number of their bytes.
func (c *crowd) assertTaken(least int) {
	c.t.Helper()
	backlog, unread := c.queues()
	for last := time.Now(); time.Since(last) < settleTime; {
		time.Sleep(settleTime / 20)
		if b, u := c.queues(); b != backlog || u != unread {
			backlog, unread, last = b, u, time.Now()
		}
	}
	taken := int(c.sent.Load()) - unread
	c.t.Logf("%d of %d clients accepted, %d bytes taken of %d sent", len(c.clients)-backlog, len(c.clients), taken, c.sent.Load())
	if backlog > 0 {
		c.t.Errorf("%d of %d clients are not accepted", backlog, len(c.clients))
	}
	if taken < least {
		c.t.Errorf("the node has taken %d bytes of the crowd, want %d at least", taken, least)
	}
}

// queues returns how many connections the node has not accepted, and how many bytes of the crowd it
// has not read.
func (c *crowd) queues() (backlog, unread int) {
	c.t.Helper()
	_, text, err := net.SplitHostPort(c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		c.t.Fatal(err)
	}
	port := fmt.Sprintf("%04X", number)
	own := make(map[string]bool)
	for _, conn := range c.clients {
		if address, ok := conn.LocalAddr().(*net.TCPAddr); ok {
			own[fmt.Sprintf("%04X", address.Port)] = true
		}
	}
	for _, s := range readSockets(c.t) {
		switch {
		case s.localPort == port && s.state == stateListen:
			backlog = s.unread
		case s.localPort == port && own[s.remotePort]:
			unread += s.unread
		case s.remotePort == port && own[s.localPort]:
			unread += s.unsent
		}
	}
	return backlog, unread
}

// readSockets returns the IPv4 sockets of this machine.
func readSockets(t *testing.T) []socket {
	t.Helper()
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	var list []socket
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[0], ":") {
			continue
		}
		_, local, _ := strings.Cut(fields[1], ":")
		_, remote, _ := strings.Cut(fields[2], ":")
		unsent, unread, _ := strings.Cut(fields[4], ":")
		s := socket{localPort: local, remotePort: remote, state: fields[3]}
		s.unsent, s.unread = parseHex(t, unsent), parseHex(t, unread)
		list = append(list, s)
	}
	return list
}

func parseHex(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.ParseUint(text, 16, 32)
	if err != nil {
		t.Fatal(err)
	}
	return int(n)
}

// assertBounds fails the test if a node has ended, or uses more memory or descriptors than it may.
func (f *fleet) assertBounds(t *testing.T, when string) {
	t.Helper()
	for name, p := range map[string]*process{"front": f.front, "back": f.back} {
		p.assertRunning(t)
		peak, open := p.peakMemory(t), p.openDescriptors(t)
		t.Logf("%s: %s: peak memory %d MB, %d descriptors", when, name, peak>>20, open)
		if peak > crowdMemory {
			t.Errorf("%s: the %s node held %d MB, want %d at most", when, name, peak>>20, crowdMemory>>20)
		}
		if open > maxCrowdDescriptors {
			t.Errorf("%s: the %s node has %d descriptors open, want %d at most", when, name, open, maxCrowdDescriptors)
		}
	}
}

// openDescriptors returns the number of the process's open descriptors.
func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// assertServes fails the test unless a call with a body of the given size is answered by the
// upstream. A caller that gets another response or none calls again.
func (f *fleet) assertServes(t *testing.T, when string, size int64, chunked bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), ordinaryTimeout)
	defer cancel()
	last := ""
	for ctx.Err() == nil {
		if last = f.upload(ctx, size, chunked); strings.HasPrefix(last, "200 ") {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("%s: a call with a body of %d bytes got %q, want the upstream's response", when, size, last)
}

// upload makes one call with a body of the given size on a connection of its own, and returns the
// status and body of the response, or the error.
func (f *fleet) upload(ctx context.Context, size int64, chunked bool) string {
	method, length := http.MethodPost, size
	switch {
	case size == 0:
		method = http.MethodGet
	case chunked:
		length = -1
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.entry+"/", io.LimitReader(zeroes{}, size))
	if err != nil {
		return err.Error()
	}
	r.Host, r.ContentLength = "store", length
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout / 2}
	resp, err := client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}
