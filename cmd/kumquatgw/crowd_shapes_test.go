package main_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// crowdShape is what each client of a crowd does.
type crowdShape struct {
	name string
	// clients is the size of the crowd.
	clients int
	// act is what one client does. It leaves its connection open.
	act func(net.Conn) error
	// leastTaken is how many bytes of all clients the node must read.
	leastTaken int
}

const (
	// chunkedHead begins a request with a chunked body.
	chunkedHead = "POST / HTTP/1.1\r\nHost: store\r\nTransfer-Encoding: chunked\r\n\r\n"
	// largeChunk is the size of a large chunk in bytes, and largeChunks how many of them a body has.
	largeChunk, largeChunks = 1 << 20, 8
	// tinyChunks is how many chunks of one byte a body has.
	tinyChunks = 100_000
	// manyFields is the size in bytes of many short header fields: with the rest of a head, almost
	// the largest head that nodes accept.
	manyFields = 17 << 10
	// pipelinedResponse is the size in bytes of each response to a pipelined request.
	pipelinedResponse = 60_000
	// unreadResponse is the size in bytes of a response that no buffer of the kernel holds.
	unreadResponse = 32 << 20
)

// callShapes returns the crowds that may come to a listener for calls.
func callShapes() []crowdShape {
	fields := strings.Repeat("a:\r\n", manyFields/4)
	return []crowdShape{
		{
			name: "chunk_announced_only", clients: 60,
			act:        text(chunkedHead + fmt.Sprintf("%x\r\nx", crowdMaxBody-16)),
			leastTaken: 60 * len(chunkedHead),
		},
		{
			name: "small_chunk_then_chunk_announced", clients: 60,
			act:        text(chunkedHead + fmt.Sprintf("10000\r\n%s\r\n%x\r\nx", strings.Repeat("x", 1<<16), crowdMaxBody-(1<<17))),
			leastTaken: 60 << 10,
		},
		{name: "large_chunks", clients: 24, act: sendLargeChunks, leastTaken: crowdMemory / 4},
		{
			name: "tiny_chunks", clients: 60,
			act:        text(chunkedHead + strings.Repeat("1\r\nx\r\n", tinyChunks)),
			leastTaken: crowdMemory / 16,
		},
		{
			name: "length_announced", clients: 60,
			act:        text(fmt.Sprintf("POST / HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n%s", crowdMaxBody, strings.Repeat("x", largeChunk))),
			leastTaken: largeChunk,
		},
		{
			name: "many_fields", clients: 400,
			act:        text("POST / HTTP/1.1\r\nHost: store\r\nContent-Length: 9\r\n" + fields + "\r\nx"),
			leastTaken: crowdMemory / 64,
		},
		{
			name: "many_trailers", clients: 400,
			act:        text(chunkedHead + "1\r\nx\r\n0\r\n" + fields),
			leastTaken: crowdMemory / 64,
		},
		{
			name: "unfinished_heads", clients: 900,
			act:        text("GET /" + strings.Repeat("x", manyFields) + " HTTP/1.1\r\nHost: store\r\n"),
			leastTaken: crowdMemory / 64,
		},
		{
			name: "refused_bodies", clients: 300,
			act:        text(fmt.Sprintf("POST / HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n%s", 2*crowdMaxBody, strings.Repeat("x", 1<<16))),
			leastTaken: 300 << 10,
		},
	}
}

// Guards against a crowd of callers from outside that ends a node or takes all its memory,
// descriptors or upstreams' slots.
func TestCrowdOfCallers(t *testing.T) {
	get := func(size int) string {
		return fmt.Sprintf("GET /?bytes=%d HTTP/1.1\r\nHost: store\r\n\r\n", size)
	}
	shapes := append(callShapes(),
		crowdShape{name: "pipelined_unread", clients: 150, act: text(strings.Repeat(get(pipelinedResponse), 16)), leastTaken: 150},
		crowdShape{name: "unread_responses", clients: 300, act: text(get(unreadResponse)), leastTaken: 300},
		crowdShape{name: "idle", clients: 1200, act: text("")},
		crowdShape{name: "idle_after_a_call", clients: 1200, act: callOnce, leastTaken: 900},
		crowdShape{name: "mixed", clients: 400, act: mixed(
			text(chunkedHead+fmt.Sprintf("%x\r\nx", crowdMaxBody-16)), sendLargeChunks, text(chunkedHead+strings.Repeat("1\r\nx\r\n", tinyChunks/10)),
			text("POST / HTTP/1.1\r\nHost: store\r\nContent-Length: 9\r\n"+strings.Repeat("a:\r\n", manyFields/4)+"\r\nx"),
			text(strings.Repeat(get(pipelinedResponse), 16)), text(get(unreadResponse)), text(""), callOnce,
		), leastTaken: crowdMemory / 16},
	)
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			f, _, _ := newCrowdFleet(t)
			s.assertWithstood(t, f, f.entry)
		})
	}
}

// Guards against a crowd at the listener for other nodes' calls.
func TestCrowdAtTheGate(t *testing.T) {
	for _, s := range callShapes() {
		t.Run(s.name, func(t *testing.T) {
			f, _, _ := newCrowdFleet(t)
			s.assertWithstood(t, f, f.gate)
		})
	}
}

// Guards against a crowd at the listener for the local upstream.
func TestCrowdAtTheLocalListener(t *testing.T) {
	for _, s := range callShapes() {
		t.Run(s.name, func(t *testing.T) {
			f, _, _ := newCrowdFleet(t)
			s.assertWithstood(t, f, f.local)
		})
	}
}

// Guards against a crowd at the listeners for readiness probes, operators and peers.
func TestCrowdBesideCalls(t *testing.T) {
	shapes := map[string]crowdShape{}
	for _, s := range callShapes() {
		shapes[s.name] = s
	}
	for _, c := range []struct {
		listener string
		crowdShape
	}{
		{"ready", shapes["large_chunks"]},
		{"ready", shapes["many_fields"]},
		{"ready", crowdShape{name: "idle", clients: 1200, act: text("")}},
		{"admin", crowdShape{
			name: "large_chunks", clients: 120, leastTaken: crowdMemory / 16,
			act: text(strings.Replace(chunkedHead, "POST /", "POST /api/v1/document", 1) + fmt.Sprintf("%x\r\n", largeChunk-1) + strings.Repeat("x", largeChunk-2)),
		}},
		{"control", crowdShape{name: "unfinished_frames", clients: 150, act: text(unfinishedFrame()), leastTaken: crowdMemory / 16}},
		{"control", crowdShape{name: "idle", clients: 1200, act: text("")}},
	} {
		t.Run(c.listener+"_"+c.name, func(t *testing.T) {
			f, ready, admin := newCrowdFleet(t)
			address := map[string]string{"ready": ready, "admin": admin, "control": f.control}[c.listener]
			c.assertWithstood(t, f, address)
		})
	}
}

// assertWithstood has the crowd act at the address, and fails the test unless both nodes keep within
// their bounds, an ordinary call is answered beside the crowd, and the largest one once the crowd
// has left.
func (s crowdShape) assertWithstood(t *testing.T, f *fleet, address string) {
	t.Helper()
	f.assertServes(t, "before", 0, false)
	c := openCrowd(t, address, s.clients)
	c.act(s.act)
	c.assertTaken(s.leastTaken)
	f.assertBounds(t, "beside the crowd")
	f.assertServes(t, "beside the crowd", 0, false)
	f.assertBounds(t, "after an ordinary call")
	c.leave()
	f.assertServes(t, "afterwards", 0, false)
	f.assertServes(t, "afterwards", crowdMaxBody, false)
	f.assertServes(t, "afterwards", crowdMaxBody-1, true)
	f.assertBounds(t, "afterwards")
}

// text returns a client that sends the text.
func text(s string) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, s)
		return err
	}
}

// mixed returns a client that acts as one of the clients, each in turn.
func mixed(clients ...func(net.Conn) error) func(net.Conn) error {
	var count atomic.Int64
	return func(c net.Conn) error { return clients[int(count.Add(1))%len(clients)](c) }
}

// sendLargeChunks sends large chunks, all but the last byte.
func sendLargeChunks(c net.Conn) error {
	if _, err := io.WriteString(c, chunkedHead); err != nil {
		return err
	}
	data := strings.Repeat("x", largeChunk)
	for i := range largeChunks {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", largeChunk, data)
		if i == largeChunks-1 {
			chunk = chunk[:len(chunk)-3]
		}
		if _, err := io.WriteString(c, chunk); err != nil {
			return err
		}
	}
	return nil
}

// callOnce makes a call and reads its response.
func callOnce(c net.Conn) error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: store\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// unfinishedFrame returns a frame of drpc, the largest that peers accept, without its last byte: the
// kind of a message, its stream and number, the length and the data.
func unfinishedFrame() string {
	const length = 1 << 20
	frame := binary.AppendUvarint([]byte{0x04, 1, 1}, length)
	return string(frame) + strings.Repeat("x", length-1)
}
