package kqlinger_test

import (
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqlinger"
)

// One address opens idle connections, which could use up the server's connections.
// Those beyond the limit must be closed, and closing an earlier one must allow a
// new one.
func TestConnectionLimitPerAddress(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := kqlinger.New(inner, 2)
	accepted := make(chan net.Conn, 8)
	var group conc.WaitGroup
	defer group.Wait()
	defer func() { _ = l.Close() }()
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		return c
	}
	first, _ := dial(), dial()
	firstAccepted := <-accepted
	<-accepted
	if n, err := dial().Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the third connection read %d bytes, error %v; want it closed", n, err)
	}
	_ = first.Close()
	_ = firstAccepted.Close()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		dial()
		select {
		case <-accepted:
			return
		default:
		}
	}
	t.Error("no new connection was accepted after the first was closed")
}
