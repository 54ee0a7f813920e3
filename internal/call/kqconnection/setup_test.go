package kqconnection_test

import (
	"net"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// failer is what set-up needs of a test, and of a property's play.
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

// accept connects a caller and returns both ends; done closes them.
func accept(t failer, l *kqconnection.Listener) (server, caller net.Conn, done func()) {
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

// open is both, for tests of one connection.
func open(t failer, options ...kqconnection.Option) (server, caller net.Conn, done func()) {
	t.Helper()
	l := listen(t, options...)
	server, caller, end := accept(t, l)
	return server, caller, func() {
		end()
		_ = l.Close()
	}
}
