package kqrpc_test

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// endlessMemory is what a request to a peer that sends without end may allocate, in bytes, the
// test's peer included: half of what a node may hold for control.
const endlessMemory = 32 << 20

// Guards against a peer that sends without end and whose bytes a node keeps until its timeout.
func TestEndlessPeerKeepsWithinMemory(t *testing.T) {
	for name, block := range map[string]string{
		"zeros":         strings.Repeat("\x00", 64<<10),
		"ones":          strings.Repeat("\xff", 64<<10),
		"text":          strings.Repeat("HTTP/1.1 200 OK\r\n", 4<<10),
		"parts of data": strings.Repeat("\x04\x01\x01\x01x", 16<<10),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				for data := []byte(block); err == nil; {
					_, err = c.Write(data)
				}
			}()
			client := kqrpc.NewClient("one", nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			if _, err := kqrpc.Call[int, int](ctx, client, kqname.Address(l.Addr().String()), "order", 1); err == nil {
				t.Error("the request succeeded")
			}
			runtime.ReadMemStats(&after)
			if got := after.TotalAlloc - before.TotalAlloc; got > endlessMemory {
				t.Errorf("%d bytes were allocated, want at most %d", got, endlessMemory)
			}
		})
	}
}
