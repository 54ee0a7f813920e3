package kqbody_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
)

const (
	capacity = 64 << 20
	reading  = time.Minute
)

func header(length int) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetContentLength(length)
	return h
}

// Callers send more than a node has room for. A body without room is refused before it is
// read, small calls are still accepted, and a body that has been released makes room for
// the next.
func TestRoomIsBoundedAndReleased(t *testing.T) {
	b := kqbody.New(capacity)
	first, second := header(40<<20), header(32<<20)
	if !b.Reserve(first, 0, reading) {
		t.Fatal("no room for the first body")
	}
	b.MarkRead(first)
	if b.Reserve(second, 10*time.Millisecond, reading) {
		t.Error("both bodies have room in a bound of 64 MB")
	}
	if !b.Reserve(header(60<<10), 0, reading) {
		t.Error("no room for a small body")
	}
	time.AfterFunc(20*time.Millisecond, func() { b.ReleaseRequest(first) })
	if !b.Reserve(second, 10*time.Second, reading) {
		t.Error("no room for the second body after the first was released")
	}
}

// On a server with little memory the bound is below the largest body allowed. Such a body
// must be accepted alone, or it would always be refused.
func TestBodyOverTheBoundIsAcceptedAlone(t *testing.T) {
	b := kqbody.New(1 << 20)
	if !b.Reserve(header(32<<20), 0, reading) {
		t.Error("no room for a body over the bound while no other is held")
	}
	if b.Reserve(header(1<<20), 0, reading) {
		t.Error("room for another large body while one over the bound is held")
	}
}

// A caller disconnects while its request is read and fasthttp does not report it. The room
// must be released all the same.
func TestRoomOfAbandonedRequestExpires(t *testing.T) {
	b := kqbody.New(capacity)
	if !b.Reserve(header(64<<20), 0, time.Millisecond) {
		t.Fatal("no room for the first body")
	}
	time.Sleep(5 * time.Millisecond)
	if !b.Reserve(header(64<<20), 0, reading) {
		t.Error("the room of an abandoned request is still reserved")
	}
}

// Two callers send bodies without stating their length. Together they must not exceed the
// bound as they arrive, and the first one's room must be released at its end.
func TestBodiesOfUnknownLengthShareTheBound(t *testing.T) {
	b := kqbody.New(8 << 20)
	if !b.Grow("first", 3<<20, 0) {
		t.Fatal("no room for the first body")
	}
	if b.Grow("second", 3<<20, 0) {
		t.Error("room for the second body beside the first")
	}
	if !b.Grow("first", 30<<20, 0) {
		t.Error("no room for a body over the bound while no other is held")
	}
	b.Release("first")
	if !b.Grow("second", 3<<20, 0) {
		t.Error("no room for the second body after the first was released")
	}
}

// Guards against small bodies that together take more memory than a few large ones may, and
// against large ones that leave no room for small calls.
func TestSmallBodiesHaveTheirOwnBound(t *testing.T) {
	b := kqbody.New(8 << 20)
	taken := 0
	for range 1000 {
		if b.Reserve(header(60<<10), 0, reading) {
			taken++
		}
	}
	if taken != 64 {
		t.Errorf("%d bodies of 60 KB have room in 4 MB, want 64", taken)
	}
	if !b.Reserve(header(4<<20), 0, reading) {
		t.Error("no room for a large body beside small ones")
	}
	if !b.Reserve(header(1000), 0, reading) {
		t.Error("no room for a body of 1 KB")
	}
}

// Guards against bodies that take the memory needed by open connections.
func TestConnectionsReduceRoomForBodies(t *testing.T) {
	open := 0
	b := kqbody.New(8<<20, kqbody.WithConnections(10<<20, func() int { return open }))
	if !b.Reserve(header(8<<20), 0, reading) {
		t.Fatal("no room for a body while no connection is open")
	}
	open = 320
	if b.Reserve(header(60<<10), 0, reading) != true {
		t.Error("no room for any small body beside many connections")
	}
	for b.Reserve(header(60<<10), 0, reading) {
	}
	if b.Reserve(header(100<<10), 0, reading) {
		t.Error("room for a large body beside another, small ones and 10 MB of connections")
	}
}
