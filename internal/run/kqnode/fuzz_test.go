package kqnode_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// peerMethods are RPC methods that peers may call. Not among them are direct broadcast
// (s.1), the node's report, and those of departures, which need an adapter.
var peerMethods = []string{"m.b", "m.c", "m.n", "c.p", "c.r", "c.o", "c.h", "s.o", "s.d"}

// rawEncoding sends and receives bytes unchanged.
type rawEncoding struct{}

func (rawEncoding) Marshal(m drpc.Message) ([]byte, error)      { return *m.(*[]byte), nil }
func (rawEncoding) Unmarshal(data []byte, m drpc.Message) error { *m.(*[]byte) = data; return nil }

// FuzzPeerMessages sends messages that a faulty peer could send. The node may reject them
// but must not panic, which would cut off all calls on its server, nor become ready.
func FuzzPeerMessages(f *testing.F) {
	s := kqsettings.Default()
	s.Node.Name, s.Node.Domain = "fuzzed", "one"
	s.Node.EntryListen, s.Node.LocalListen, s.Node.GateListen, s.Node.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	n, err := kqnode.New(s, kqfakestore.New())
	if err != nil {
		f.Fatal(err)
	}
	ctx, kill := context.WithCancelCause(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	f.Cleanup(func() { kill(kqnode.ErrKilled); <-done })

	for method := range peerMethods {
		for _, body := range []any{
			map[int]any{1: "peer", 2: map[int]any{1: 1, 2: []int{1, 2}, 3: 9, 4: 1}},
			map[int]any{1: "peer", 2: map[int]any{1: []uint64{1, 2, 3}}},
			map[int]any{1: "peer", 2: map[int]any{1: []any{map[int]any{1: "x", 6: 1, 7: 200, 9: []any{map[int]any{1: "s", 3: -1}}}}}},
			map[int]any{1: "peer", 2: map[int]any{1: 1 << 62, 2: make([]byte, 32)}},
			[]any{},
			"text",
		} {
			data, err := cbor.Marshal(body)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(byte(method), data)
		}
		f.Add(byte(method), []byte{0x28, 0xb5, 0x2f, 0xfd, 0, 1, 2})
		f.Add(byte(method), []byte{0xbf})
	}
	f.Fuzz(func(t *testing.T, method byte, data []byte) {
		raw, err := net.Dial("tcp", string(n.ControlAddress()))
		if err != nil {
			t.Fatal(err)
		}
		conn := drpcconn.New(raw)
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var answer []byte
		// An error is a valid answer; the node must only keep running.
		_ = conn.Invoke(ctx, peerMethods[int(method)%len(peerMethods)], rawEncoding{}, &data, &answer)
		if n.Ready() {
			t.Fatal("a message made an empty node ready")
		}
	})
}
