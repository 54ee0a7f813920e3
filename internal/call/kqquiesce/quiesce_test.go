package kqquiesce_test

import (
	"errors"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqquiesce"
)

// Guards against resetting connections that may already carry a call when a node closes its
// listener while callers are connecting. Connections established before Quiesce must still
// be accepted, and later callers must get none.
func TestOnlyConnectedCallersAreAccepted(t *testing.T) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	early, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = early.Close() }()
	err = kqquiesce.Quiesce(l.(*net.TCPListener))
	if runtime.GOOS != "linux" {
		if !errors.Is(err, errors.ErrUnsupported) {
			t.Fatalf("got %v, want ErrUnsupported", err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := early.Write([]byte("call")); err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if n, err := accepted.Read(make([]byte, 8)); n != 4 || err != nil {
		t.Errorf("read %d bytes, %v, want the caller's 4 bytes", n, err)
	}
	late := make(chan error, 1)
	go func() {
		_, err := net.Dial("tcp", l.Addr().String())
		late <- err
	}()
	select {
	case err := <-late:
		t.Fatalf("connecting after Quiesce returned at once: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-late; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connecting after Quiesce: %v, want connection refused", err)
	}
}
