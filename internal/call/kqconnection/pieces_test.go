package kqconnection_test

import (
	"io"
	"net"
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// Guards against bodies of unstated length that take no room, as their head came in pieces.
func TestRoomIsTakenHoweverTheHeadComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := &recorder{}
		server, caller, done := open(t, kqconnection.WithRoom(room, 0))
		defer done()
		go func() {
			_, _ = io.WriteString(caller, "PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\nhost: a\r\n\r\n5\r\nabcde\r\n0\r\n\r\n")
			_ = caller.(*net.TCPConn).CloseWrite()
		}()
		b := make([]byte, rapid.IntRange(1, 100).Draw(t, "buffer"))
		readAll(server, b)
		if room.size < 5 {
			t.Fatalf("room was taken for %d bytes of a body of 5", room.size)
		}
	})
}
