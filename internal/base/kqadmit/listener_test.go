package kqadmit_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqadmit"
	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
)

// least is the memory that each request takes at least, in bytes.
const least = 64 << 10

// listen returns a listener whose connections take their memory from the account.
func listen(t *testing.T, a *kqmemory.Account, refused func()) *kqadmit.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	return kqadmit.New(inner, a.Group(0, kqmemory.ConnectionMemory), least, refused)
}

// connect returns both ends of a connection.
func connect(t *testing.T, l *kqadmit.Listener) (server, client net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return server, client
}

// Guards against peers and operators whose unfinished messages together take all memory, and against
// memory that is kept once a request has been answered.
func TestUnfinishedRequestsKeepWithinMemory(t *testing.T) {
	a := kqmemory.New(kqmemory.Limits{Total: 1 << 20})
	l := listen(t, a, func() {})
	first, client := connect(t, l)
	message := make([]byte, 200<<10)
	go func() { _, _ = client.Write(message) }()
	if _, err := io.ReadFull(first, make([]byte, len(message))); err != nil {
		t.Fatal(err)
	}
	if got := a.Used(kqmemory.Calls); got < 2*len(message) {
		t.Errorf("%d bytes are reserved for an unfinished message of %d", got, len(message))
	}
	second, client := connect(t, l)
	go func() { _, _ = client.Write(make([]byte, 1<<20)) }()
	if _, err := io.Copy(io.Discard, second); err == nil {
		t.Error("there was memory for another message of 1 MB")
	}
	_ = second.Close()
	if _, err := first.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	if got := a.Used(kqmemory.Calls); got != 0 {
		t.Errorf("%d bytes are reserved after the answer", got)
	}
	third, client := connect(t, l)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := third.Read(make([]byte, 1)); err != nil || a.Used(kqmemory.Calls) != least {
		t.Errorf("read ended with %v, %d bytes are reserved for a request, want %d", err, a.Used(kqmemory.Calls), least)
	}
}

// Guards against idle connections that keep peers from connecting, and against new ones that are
// accepted beyond the limit.
func TestIdleConnectionsGiveWay(t *testing.T) {
	refused := 0
	l := listen(t, kqmemory.New(kqmemory.Limits{Open: 1}), func() { refused++ })
	idle, _ := connect(t, l)
	early, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = early.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	if _, err := early.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond the limit is open")
	}
	time.Sleep(time.Second)
	late, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = late.Close() }()
	if c := <-accepted; c == nil || c.RemoteAddr().String() != late.LocalAddr().String() {
		t.Error("the late connection was not accepted")
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil || refused != 1 {
		t.Errorf("the idle connection ended with %v, %d were refused, want an error and one", err, refused)
	}
}
