package kqbody_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

// newAccount returns an account and a function that returns the reservation of a new client.
func newAccount(l kqmemory.Limits) (*kqmemory.Account, func() *kqmemory.Reservation) {
	a := kqmemory.New(l)
	g := a.Group(0, 0)
	return a, func() *kqmemory.Reservation {
		c, _ := g.Admit(func(kqreclaim.State) {}, time.Now())
		return c.NewReservation()
	}
}

// used returns the memory that is reserved for bodies.
func used(a *kqmemory.Account) int {
	return a.Used(kqmemory.SmallBodies) + a.Used(kqmemory.LargeBodies)
}

func ExampleReceive() {
	body, err := kqbody.Receive(strings.NewReader("an order"), -1, 1<<20, nil, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer body.Release()
	var r fasthttp.Request
	body.Attach(&r)
	fmt.Printf("%d bytes: %s\n", kqbody.Length(&r), r.Body())
	// Output: 8 bytes: an order
}

// Whatever the length of a body and however it arrives, the request must get exactly its bytes, as
// often as it is sent, and the memory that is reserved must be that of its buffers.
func TestBodiesAreReceivedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, client := newAccount(kqmemory.Limits{})
		want := make([]byte, rapid.OneOf(rapid.IntRange(0, 9000), rapid.IntRange(0, 300<<10)).Draw(t, "length"))
		for i := range want {
			want[i] = byte(i * 7 / 3)
		}
		length := -1
		if rapid.Bool().Draw(t, "stated") {
			length = len(want)
		}
		var source io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "with EOF") {
			source = iotest.DataErrReader(source)
		}
		if rapid.Bool().Draw(t, "in halves") {
			source = iotest.HalfReader(source)
		}
		body, err := kqbody.Receive(source, length, len(want), client(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if least, most := len(want)-4<<10, 4*len(want)+128<<10; used(a) < least || used(a) > most {
			t.Errorf("%d bytes are reserved for %d", used(a), len(want))
		}
		var r fasthttp.Request
		body.Attach(&r)
		for range 2 {
			var got bytes.Buffer
			if err := kqbody.Write(&r, &got); err != nil || !bytes.Equal(got.Bytes(), want) || kqbody.Length(&r) != len(want) {
				t.Fatalf("got %d other bytes of %d, error %v", got.Len(), len(want), err)
			}
		}
		if !bytes.Equal(r.Body(), want) {
			t.Fatal("the request's body differs")
		}
		r.Reset()
		body.Release()
		if used(a) != 0 {
			t.Errorf("%d bytes stay reserved", used(a))
		}
	})
}

// Guards against a body that counts as whole although it ended early, and against memory that stays
// reserved after an error.
func TestFailedBodiesAreReleased(t *testing.T) {
	reset := errors.New("reset")
	whole := strings.Repeat("x", 200<<10)
	for name, c := range map[string]struct {
		source io.Reader
		length int
		want   error
	}{
		"ends early":           {strings.NewReader(whole[:100<<10]), len(whole), io.ErrUnexpectedEOF},
		"breaks":               {io.MultiReader(strings.NewReader(whole), iotest.ErrReader(reset)), -1, reset},
		"stated too large":     {iotest.ErrReader(reset), 1<<20 + 1, kqbody.ErrTooLarge},
		"too large":            {strings.NewReader(strings.Repeat("x", 1<<20+1)), -1, kqbody.ErrTooLarge},
		"no memory":            {strings.NewReader(strings.Repeat("x", 512<<10)), -1, kqbody.ErrNoMemory},
		"no memory for length": {iotest.ErrReader(reset), 512 << 10, kqbody.ErrNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			limits := kqmemory.Limits{LargeBodies: 4 << 20}
			if errors.Is(c.want, kqbody.ErrNoMemory) {
				limits.LargeBodies = 600 << 10
			}
			a, client := newAccount(limits)
			other := client()
			other.Reserve(kqmemory.LargeBodies, 200<<10, 0)
			if _, err := kqbody.Receive(c.source, c.length, 1<<20, client(), 0); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if used(a) != 200<<10 {
				t.Errorf("%d bytes stay reserved", used(a)-200<<10)
			}
		})
	}
}

// Guards against bodies that take memory for what their client has announced and not sent.
func TestAnnouncedBytesAreNotAllocated(t *testing.T) {
	const clients, announced = 60, 16 << 20
	_, client := newAccount(kqmemory.Limits{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range clients {
		_, err := kqbody.Receive(strings.NewReader("x"), announced, announced, client(), 0)
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > clients*128<<10 {
		t.Errorf("%d KB were allocated for %d bytes", got>>10, clients)
	}
}

// Guards against the garbage of released bodies, which together with the next ones exceeds the
// process's memory: their blocks must be used again.
func TestReleasedBlocksAreUsedAgain(t *testing.T) {
	const bodies, size = 10, 4 << 20
	_, client := newAccount(kqmemory.Limits{})
	whole := make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bodies {
		body, err := kqbody.Receive(bytes.NewReader(whole), -1, size, client(), 0)
		if err != nil {
			t.Fatal(err)
		}
		body.Release()
	}
	runtime.ReadMemStats(&after)
	// Under the race detector, pools drop a part of what they get.
	if got := after.TotalAlloc - before.TotalAlloc; got > bodies*size/2 {
		t.Errorf("%d MB were allocated for %d bodies of %d MB one after the other", got>>20, bodies, size>>20)
	}
}
