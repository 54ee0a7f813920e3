package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// pieceSender is a caller that sends a body of size bytes in pieces of piece bytes, the last
// one after a pause.
type pieceSender struct {
	size, piece int
	pause       time.Duration
	// hasLength sends a content-length; without it the body is chunked.
	hasLength bool
	// splitHead sends the request head in two pieces.
	splitHead bool
}

// send sends the call to the entry and returns the status and, except for 200, the body
// of the response, or the error.
func (p pieceSender) send(entry string) string {
	conn, err := net.DialTimeout("tcp", entry, 20*time.Second)
	if err != nil {
		return fmt.Sprintf("connect: %v", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Minute)); err != nil {
		return err.Error()
	}
	// The response is read concurrently, since a refusal may come before the body is sent.
	go p.write(conn)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Sprintf("read: %v", err)
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return fmt.Sprintf("read body: %v", err)
	}
	if a.StatusCode == http.StatusOK {
		return "200"
	}
	return fmt.Sprintf("%d %s", a.StatusCode, strings.TrimSpace(string(text)))
}

// write writes the request.
func (p pieceSender) write(conn net.Conn) {
	out := bufio.NewWriterSize(conn, 16<<10)
	bodyHeader := "transfer-encoding: chunked"
	if p.hasLength {
		bodyHeader = fmt.Sprintf("content-length: %d", p.size)
	}
	_, _ = fmt.Fprintf(out, "POST / HTTP/1.1\r\nhost: store\r\n%s\r\n", bodyHeader)
	if p.splitHead {
		_ = out.Flush()
		time.Sleep(50 * time.Millisecond)
	}
	_, _ = out.WriteString("\r\n")
	for left := p.size; left > 0; left -= p.piece {
		piece := strings.Repeat("x", min(p.piece, left))
		if left <= p.piece {
			_ = out.Flush()
			time.Sleep(p.pause)
		}
		if p.hasLength {
			_, _ = out.WriteString(piece)
			continue
		}
		_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", len(piece), piece)
	}
	if !p.hasLength {
		_, _ = out.WriteString("0\r\n\r\n")
	}
	_ = out.Flush()
}

// sendConcurrently sends count calls at once and counts their responses by text.
func sendConcurrently(entry string, count int, p pieceSender) map[string]int {
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		answers = make(map[string]int)
	)
	for range count {
		group.Go(func() {
			a := p.send(entry)
			mu.Lock()
			defer mu.Unlock()
			answers[a]++
		})
	}
	group.Wait()
	return answers
}

// smallMemorySettings sets a node's memory limit to memoryBound. It begins with a newline
// because newMeshWith inserts it after a value.
const smallMemorySettings = "\n[call]\nmax_body = 64MB\n[node]\nmemory = 184MB"

// Guards against a process that exceeds its memory limit because of many concurrent small
// bodies.
func TestManySmallBodiesKeepWithinMemory(t *testing.T) {
	const size = 60 << 10
	for name, p := range map[string]pieceSender{
		"chunked":                            {size: size, piece: 1 << 10, pause: 3 * time.Second},
		"with content-length":                {size: size, piece: 1 << 10, pause: 3 * time.Second, hasLength: true},
		"chunked, with a head in two pieces": {size: size, piece: 1 << 10, pause: 3 * time.Second, splitHead: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMeshWith(t, 20*time.Millisecond, smallMemorySettings)
			answers := sendConcurrently(m.entry, 3000/loadDivisor, p)
			t.Logf("responses: %v; peak memory: front %d MB, back %d MB", answers, m.front.peakMemory(t)>>20, m.back.peakMemory(t)>>20)
			m.front.assertRunning(t)
			if got := max(m.front.peakMemory(t), m.back.peakMemory(t)); got > memoryBound*raceFactor {
				t.Errorf("a node used %d MB, want %d MB at most", got>>20, memoryBound*raceFactor>>20)
			}
			for a, count := range answers {
				if !strings.HasPrefix(a, "200") && !strings.HasPrefix(a, "503 not_run: ") {
					t.Errorf("%d callers got %q, want the upstream's response or not_run", count, a)
				}
			}
			if got := call(t, m.entry, "store"); !strings.HasPrefix(got, "200 ") {
				t.Errorf("afterwards: response %q, want the upstream's", got)
			}
		})
	}
}

// Guards against a valid request that is refused as malformed for lack of memory: its
// caller would never retry it. Each chunk holds one byte, and its framing takes five more.
func TestBodiesInTinyChunksAreNotCalledMalformed(t *testing.T) {
	// On a loaded server the bodies take longer than the default read timeout.
	m := newMeshWith(t, 20*time.Millisecond, strings.Replace(smallMemorySettings, "[call]", "[call]\nread_timeout = 2m", 1))
	for _, count := range []int{64, 128} {
		answers := sendConcurrently(m.entry, count, pieceSender{size: 400_000 / loadDivisor, piece: 1})
		t.Logf("%d callers: %v; peak memory: front %d MB", count, answers, m.front.peakMemory(t)>>20)
		for a, count := range answers {
			if !strings.HasPrefix(a, "200") && !strings.HasPrefix(a, "503 not_run: no_memory") {
				t.Errorf("%d callers got %q, want the upstream's response or no_memory", count, a)
			}
		}
	}
}

// Guards against large bodies without a content-length that are left out of the memory
// limit because their request head arrived in two pieces.
func TestBodiesBehindAHeadInPiecesKeepWithinMemory(t *testing.T) {
	m := newMeshWith(t, 20*time.Millisecond, smallMemorySettings)
	answers := sendConcurrently(m.entry, 16, pieceSender{size: largeBody, piece: 64 << 10, splitHead: true})
	t.Logf("responses: %v; peak memory: front %d MB, back %d MB", answers, m.front.peakMemory(t)>>20, m.back.peakMemory(t)>>20)
	m.front.assertRunning(t)
	if got := max(m.front.peakMemory(t), m.back.peakMemory(t)); got > memoryBound*raceFactor {
		t.Errorf("a node used %d MB, want %d MB at most", got>>20, memoryBound*raceFactor>>20)
	}
}
