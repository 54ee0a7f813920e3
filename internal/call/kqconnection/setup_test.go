package kqconnection_test

import (
	"net"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// failer is the part of *testing.T and *rapid.T that the helpers use.
type failer interface {
	Helper()
	Fatal(args ...any)
}

// listen returns a listener on a free port.
func listen(t failer, options ...kqconnection.Option) *kqconnection.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return kqconnection.New(inner, options...)
}

// connect connects a caller and returns both ends; done closes them.
func connect(t failer, l *kqconnection.Listener) (server, caller net.Conn, done func()) {
	t.Helper()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return server, caller, func() { _, _ = server.Close(), caller.Close() }
}

// openConnection combines listen and connect for tests of one connection.
func openConnection(t failer, options ...kqconnection.Option) (server, caller net.Conn, done func()) {
	t.Helper()
	l := listen(t, options...)
	server, caller, end := connect(t, l)
	return server, caller, func() {
		end()
		_ = l.Close()
	}
}
