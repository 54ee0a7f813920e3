package kqconnection_test

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpace"
)

// pieces records what it is asked for.
type pieces struct {
	mu              sync.Mutex
	counted, paced  int
	largest, waited int
}

func (p *pieces) Count(size int, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counted += size
}

func (p *pieces) Reserve(size int, _ time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paced, p.largest, p.waited = p.paced+size, max(p.largest, size), p.waited+1
	return time.Microsecond
}

// Guards against large responses that pass the pacer in one write or by io.Copy, and against
// bytes that are lost between pieces.
func TestLargeResponsesAreWrittenInPieces(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789"), 10000)
	for name, write := range map[string]func(net.Conn) error{
		"written": func(c net.Conn) error { _, err := c.Write(want); return err },
		"copied":  func(c net.Conn) error { _, err := io.Copy(c, bytes.NewReader(want)); return err },
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var p pieces
			l := kqconnection.New(raw, kqconnection.WithPacer(&p))
			defer func() { _ = l.Close() }()
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				c, err := l.Accept()
				if err != nil {
					t.Error(err)
					return
				}
				if err := write(c); err != nil {
					t.Error(err)
				}
				_ = c.Close()
			})
			c, err := net.Dial("tcp", raw.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(want))
			if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
				t.Errorf("received other bytes than were sent, %v", err)
			}
			_ = c.Close()
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.counted > kqpace.PromptSize || p.counted+p.paced != len(want) || p.largest > kqpace.PieceSize {
				t.Errorf("%d bytes sent at once, %d in pieces of up to %d", p.counted, p.paced, p.largest)
			}
		})
	}
}
