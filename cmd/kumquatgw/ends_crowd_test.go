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

// piecemeal is a caller that sends its body in pieces of a size, and the last one after a
// pause.
type piecemeal struct {
	size, piece int
	pause       time.Duration
	stated      bool
	// apart has the head come in two pieces.
	apart bool
}

// send calls the entry and returns the status and the reason of its answer, or what went
// wrong.
func (p piecemeal) send(entry string) string {
	conn, err := net.DialTimeout("tcp", entry, 20*time.Second)
	if err != nil {
		return fmt.Sprintf("connect: %v", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Minute)); err != nil {
		return err.Error()
	}
	// Who is refused while it sends has its answer all the same.
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

func (p piecemeal) write(conn net.Conn) {
	out := bufio.NewWriterSize(conn, 16<<10)
	head := "transfer-encoding: chunked"
	if p.stated {
		head = fmt.Sprintf("content-length: %d", p.size)
	}
	_, _ = fmt.Fprintf(out, "POST / HTTP/1.1\r\nhost: store\r\n%s\r\n", head)
	if p.apart {
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
		if p.stated {
			_, _ = out.WriteString(piece)
			continue
		}
		_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", len(piece), piece)
	}
	if !p.stated {
		_, _ = out.WriteString("0\r\n\r\n")
	}
	_ = out.Flush()
}

// crowdOf has callers call at once and returns how many had each answer.
func crowdOf(entry string, count int, p piecemeal) map[string]int {
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

const smallMemory = "\n[call]\nmax_body = 64MB\n[node]\nmemory = 184MB"

// Guards against a process that is ended for its memory by bodies each of which is small.
func TestManySmallBodiesKeepWithinMemory(t *testing.T) {
	const size = 60 << 10
	for name, p := range map[string]piecemeal{
		"chunked":                            {size: size, piece: 1 << 10, pause: 3 * time.Second},
		"stated":                             {size: size, piece: 1 << 10, pause: 3 * time.Second, stated: true},
		"chunked, with a head in two pieces": {size: size, piece: 1 << 10, pause: 3 * time.Second, apart: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMeshWith(t, 20*time.Millisecond, smallMemory)
			answers := crowdOf(m.entry, 3000/crowdPart, p)
			t.Logf("answers: %v; front %d MB, back %d MB at most", answers, m.front.peak(t)>>20, m.back.peak(t)>>20)
			m.front.alive(t)
			if got := max(m.front.peak(t), m.back.peak(t)); got > memoryBound*memoryFactor {
				t.Errorf("a node has held %d MB, want %d MB at most", got>>20, memoryBound*memoryFactor>>20)
			}
			for a, count := range answers {
				if !strings.HasPrefix(a, "200") && !strings.HasPrefix(a, "503 not_run: ") {
					t.Errorf("%d callers were told %q, want the upstream's answer, or not run", count, a)
				}
			}
			if got := call(t, m.entry, "store"); !strings.HasPrefix(got, "200 ") {
				t.Errorf("afterwards: answer %q, want the upstream's", got)
			}
		})
	}
}

// Guards against refusals that blame a whole request: a caller that is told that its
// request is malformed never sends it again.
func TestBodiesInTinyChunksAreNotCalledMalformed(t *testing.T) {
	// On a busy machine the bodies take longer than the usual time for a call to arrive.
	m := newMeshWith(t, 20*time.Millisecond, strings.Replace(smallMemory, "[call]", "[call]\nread_timeout = 2m", 1))
	for _, count := range []int{64, 128} {
		answers := crowdOf(m.entry, count, piecemeal{size: 400_000 / crowdPart, piece: 1})
		t.Logf("%d callers: %v; front %d MB at most", count, answers, m.front.peak(t)>>20)
		for a, count := range answers {
			if !strings.HasPrefix(a, "200") && !strings.HasPrefix(a, "503 not_run: no_memory") {
				t.Errorf("%d callers were told %q, want the upstream's answer, or that there is no memory", count, a)
			}
		}
	}
}

// Guards against large bodies of unstated length that are not counted, as their head came
// in pieces.
func TestBodiesBehindAHeadInPiecesKeepWithinMemory(t *testing.T) {
	m := newMeshWith(t, 20*time.Millisecond, smallMemory)
	answers := crowdOf(m.entry, 16, piecemeal{size: largeBody, piece: 64 << 10, apart: true})
	t.Logf("answers: %v; front %d MB, back %d MB at most", answers, m.front.peak(t)>>20, m.back.peak(t)>>20)
	m.front.alive(t)
	if got := max(m.front.peak(t), m.back.peak(t)); got > memoryBound*memoryFactor {
		t.Errorf("a node has held %d MB, want %d MB at most", got>>20, memoryBound*memoryFactor>>20)
	}
}
