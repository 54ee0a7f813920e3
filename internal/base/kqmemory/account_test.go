package kqmemory_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqbuffer"
	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

// newClients returns a function that admits a client to the account and returns its reservation.
func newClients(t *testing.T, l kqmemory.Limits) func() *kqmemory.Reservation {
	t.Helper()
	g := kqmemory.New(l).Group(0, kqmemory.ConnectionMemory)
	return func() *kqmemory.Reservation {
		t.Helper()
		c, admitted := g.Admit(func(kqreclaim.State) {}, time.Now())
		if !admitted {
			t.Fatal("no room for a connection")
		}
		return c.NewReservation()
	}
}

// Callers send more than a node has memory for. A body that does not fit is refused
// before it is read, small calls are still accepted, and the release of a body lets the
// next one in.
func TestMemoryIsBoundedAndReleased(t *testing.T) {
	client := newClients(t, kqmemory.Limits{LargeBodies: 64 << 20, SmallBodies: 32 << 20})
	first, second := client(), client()
	if !first.Reserve(kqmemory.LargeBodies, 40<<20, 0) {
		t.Fatal("no memory for the first body")
	}
	if second.Reserve(kqmemory.LargeBodies, 32<<20, 10*time.Millisecond) {
		t.Error("both bodies are accepted with a capacity of 64 MB")
	}
	if !client().Reserve(kqmemory.SmallBodies, 60<<10, 0) {
		t.Error("no memory for a small body")
	}
	time.AfterFunc(20*time.Millisecond, func() { _ = first.Close() })
	if !second.Reserve(kqmemory.LargeBodies, 32<<20, 10*time.Second) {
		t.Error("no memory for the second body after the first was released")
	}
}

// On a server with little memory the capacity is below the largest body allowed. Such a
// body must be accepted alone, or it would always be refused.
func TestBodyOverCapacityIsAcceptedAlone(t *testing.T) {
	client := newClients(t, kqmemory.Limits{LargeBodies: 1 << 20})
	if !client().Reserve(kqmemory.LargeBodies, 32<<20, 0) {
		t.Error("no memory for a body over the capacity while no other is held")
	}
	if client().Reserve(kqmemory.LargeBodies, 1<<20, 0) {
		t.Error("memory for another large body while one over the capacity is held")
	}
}

// Two callers send bodies without stating their length. Together they must not exceed the
// capacity as they arrive, and the first one's memory must be released at its end.
func TestBodiesOfUnknownLengthShareTheCapacity(t *testing.T) {
	client := newClients(t, kqmemory.Limits{LargeBodies: 8 << 20})
	first, second := client(), client()
	if !first.Reserve(kqmemory.LargeBodies, 6<<20, 0) {
		t.Fatal("no memory for the first body")
	}
	if second.Reserve(kqmemory.LargeBodies, 3<<20, 0) {
		t.Error("memory for the second body beside the first")
	}
	if !first.Reserve(kqmemory.LargeBodies, 24<<20, 0) {
		t.Error("no memory for a body over the capacity while no other is held")
	}
	first.Release(kqmemory.LargeBodies, 30<<20)
	if !second.Reserve(kqmemory.LargeBodies, 3<<20, 0) {
		t.Error("no memory for the second body after the first was released")
	}
}

// Guards against small bodies that together take more memory than a few large ones may, and
// against large ones that leave no memory for small calls.
func TestSmallBodiesHaveTheirOwnCapacity(t *testing.T) {
	client := newClients(t, kqmemory.Limits{LargeBodies: 8 << 20, SmallBodies: 4 << 20})
	taken := 0
	for range 1000 {
		if client().Reserve(kqmemory.SmallBodies, kqbuffer.Size(60<<10), 0) {
			taken++
		}
	}
	if taken != 64 {
		t.Errorf("%d bodies of 60 KB are accepted with 4 MB for small ones, want 64", taken)
	}
	if !client().Reserve(kqmemory.LargeBodies, 4<<20, 0) {
		t.Error("no memory for a large body beside small ones")
	}
	if !client().Reserve(kqmemory.Calls, 16<<10, 0) {
		t.Error("no memory for a call")
	}
}

// Guards against bodies that take the memory needed by open connections, and against connections
// and bodies that take all the memory of calls.
func TestConnectionsReduceMemoryForBodies(t *testing.T) {
	client := newClients(t, kqmemory.Limits{Total: 10 << 20, Spare: 1 << 20, LargeBodies: 8 << 20, SmallBodies: 4 << 20})
	if !client().Reserve(kqmemory.LargeBodies, 7<<20, 0) {
		t.Fatal("no memory for a body while few connections are open")
	}
	for range 40 {
		client()
	}
	if !client().Reserve(kqmemory.SmallBodies, 64<<10, 0) {
		t.Error("no memory for any small body beside many connections")
	}
	last := client()
	for last.Reserve(kqmemory.SmallBodies, 64<<10, 0) {
	}
	if last.Reserve(kqmemory.LargeBodies, 128<<10, 0) {
		t.Error("memory for a large body beside another, small ones and connections")
	}
	calls := 0
	for last.Reserve(kqmemory.Calls, 16<<10, 0) {
		calls++
	}
	if calls < 30 {
		t.Errorf("memory for %d calls of 16 KB, want 30 at least", calls)
	}
}

// Guards against clients that stop in the middle of a request and keep the memory that others need:
// without a timeout of their own, and not for a client that goes on or is served.
func TestStalledClientsGiveWay(t *testing.T) {
	a := kqmemory.New(kqmemory.Limits{Total: 10 << 20, LargeBodies: 8 << 20})
	g := a.Group(0, kqmemory.ConnectionMemory)
	now := time.Now()
	gaveWay := make(map[string]kqreclaim.State)
	for name, progress := range map[string]time.Duration{"stalled": -2 * time.Second, "goes on": 0, "served": -2 * time.Second} {
		var m *kqmemory.Reservation
		c, _ := g.Admit(func(s kqreclaim.State) { gaveWay[name] = s; _ = m.Close() }, now)
		m = c.NewReservation()
		c.Receive(1, now.Add(progress))
		if !m.Reserve(kqmemory.LargeBodies, 2<<20, 0) {
			t.Fatalf("no memory for %s", name)
		}
		if name == "served" {
			c.Serve()
		}
	}
	c, _ := g.Admit(func(kqreclaim.State) {}, now)
	if !c.NewReservation().Reserve(kqmemory.LargeBodies, 4<<20, 10*time.Second) {
		t.Error("no memory although a stalled client holds enough")
	}
	if s, ok := gaveWay["stalled"]; !ok || s != kqreclaim.Receiving || len(gaveWay) != 1 {
		t.Errorf("%v gave way, want the stalled client while it sent", gaveWay)
	}
}

// Guards against a client that sends a byte now and then and counts as one that makes progress.
func TestSingleBytesAreNoProgress(t *testing.T) {
	a := kqmemory.New(kqmemory.Limits{Total: 4 << 20, LargeBodies: 4 << 20})
	g := a.Group(0, kqmemory.ConnectionMemory)
	now := time.Now()
	var m *kqmemory.Reservation
	c, _ := g.Admit(func(kqreclaim.State) { _ = m.Close() }, now)
	m = c.NewReservation()
	for s := range 5 {
		c.Receive(100, now.Add(time.Duration(s-5)*time.Second))
	}
	m.Reserve(kqmemory.LargeBodies, 3<<20, 0)
	other, _ := g.Admit(func(kqreclaim.State) {}, now)
	if !other.NewReservation().Reserve(kqmemory.LargeBodies, 2<<20, 10*time.Second) || c.State() != kqreclaim.Reclaimed {
		t.Error("a client that sends byte by byte keeps memory that another needs")
	}
}

// Guards against a crowd of one listener's clients that keeps other listeners' clients out: here
// peers, while callers take all connections that they can get.
func TestEachListenerKeepsConnections(t *testing.T) {
	a := kqmemory.New(kqmemory.Limits{Open: 100})
	callers, peers := a.Group(10, 0), a.Group(20, 0)
	now := time.Now()
	admit := func(g *kqmemory.Group) bool {
		c, admitted := g.Admit(func(kqreclaim.State) {}, now)
		c.Serve()
		return admitted
	}
	admitted := 0
	for range 200 {
		if admit(callers) {
			admitted++
		}
	}
	if admitted != 80 {
		t.Errorf("%d callers are admitted, want 80 of 100 connections", admitted)
	}
	for i := range 20 {
		if !admit(peers) {
			t.Fatalf("peer %d is not admitted, want 20", i)
		}
	}
	if a.Open() != 100 {
		t.Errorf("%d connections are open, want 100", a.Open())
	}
}

// Guards against new callers that are turned away while others keep idle connections.
func TestIdleConnectionsGiveWay(t *testing.T) {
	a := kqmemory.New(kqmemory.Limits{Open: 100})
	g := a.Group(0, kqmemory.ConnectionMemory)
	now := time.Now()
	closed := 0
	for i := range 500 {
		if _, admitted := g.Admit(func(kqreclaim.State) { closed++ }, now.Add(time.Duration(i)*20*time.Millisecond)); !admitted {
			t.Fatalf("connection %d is turned away", i)
		}
	}
	if open := a.Open(); open > 100 || closed != 500-open || a.Used(kqmemory.Connections) != open*kqmemory.ConnectionMemory {
		t.Errorf("%d connections are open, %d were closed, %d bytes are in use", open, closed, a.Used(kqmemory.Connections))
	}
}

// Guards against memory that stays reserved after its client has left, or is released twice.
func TestClosedReservationsHoldNothing(t *testing.T) {
	a := kqmemory.New(kqmemory.Limits{Total: 10 << 20})
	c, _ := a.Group(0, kqmemory.ConnectionMemory).Admit(func(kqreclaim.State) {}, time.Now())
	m := c.NewReservation()
	m.Reserve(kqmemory.Calls, 1<<20, 0)
	if _, ok := m.ResponseBuffer(40 << 10); !ok {
		t.Error("no memory for a response")
	}
	m.Reserve(kqmemory.SmallBodies, 4<<10, 0)
	for range 2 {
		_ = m.Close()
		m.Release(kqmemory.Calls, 1<<20)
		c.Close()
	}
	if m.Reserve(kqmemory.Calls, 1, 0) {
		t.Error("a closed reservation grants memory")
	}
	for _, u := range kqmemory.Uses() {
		if n := a.Used(u); n != 0 {
			t.Errorf("%d bytes are reserved for %s, want 0", n, u)
		}
	}
}
