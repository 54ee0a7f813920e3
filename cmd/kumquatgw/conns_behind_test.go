package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// behind sends calls of that many milliseconds behind each other on one connection, and
// returns a function that reads their answers: the call's name, or its status where it has
// no success.
func (f *fleet) behind(ms ...int) func() []string {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.entry)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	var sent strings.Builder
	for i, m := range ms {
		fmt.Fprintf(&sent, "GET /?ms=%d HTTP/1.1\r\nHost: store\r\n%s: call-%d\r\n\r\n", m, workHeader, i)
	}
	if _, err := io.WriteString(conn, sent.String()); err != nil {
		f.t.Fatal(err)
	}
	return func() []string {
		f.t.Helper()
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		r := bufio.NewReader(conn)
		var names []string
		for range ms {
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				f.t.Fatalf("after %v: %v", names, err)
			}
			body, err := io.ReadAll(a.Body)
			if err != nil {
				f.t.Fatalf("after %v: %v", names, err)
			}
			_ = a.Body.Close()
			name, _, _ := strings.Cut(string(body), " ")
			if a.StatusCode != http.StatusOK {
				name = fmt.Sprint(a.StatusCode)
			}
			names = append(names, name)
		}
		return names
	}
}

// A caller sends five calls of 400 ms behind each other. Worked on one after the other,
// its last answer would come after two seconds, though four upstream slots stood free.
func TestCallsBehindEachOtherRunAtOnce(t *testing.T) {
	f := newFleet(t, "", "")
	began := time.Now()
	got := strings.Join(f.behind(400, 400, 400, 400, 400)(), " ")
	if want := "call-0 call-1 call-2 call-3 call-4"; got != want {
		t.Errorf("answers %q, want %q", got, want)
	}
	if took := time.Since(began); took > 1600*time.Millisecond {
		t.Errorf("the last answer came after %v", took)
	}
}

// The node beside the upstream is killed while five calls that came behind each other run
// there. Their caller is due an answer to each, in their order, and on the same connection;
// what it may repeat can go elsewhere then.
func TestCallsBehindEachOtherAreAnsweredWhenTheirGateDies(t *testing.T) {
	f := newFleet(t, "", "")
	answers := f.behind(50, 3000, 3000, 3000, 3000)
	time.Sleep(500 * time.Millisecond)
	if err := f.back.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	got := answers()
	if got[0] != "call-0" {
		t.Errorf("the first answer is %q, want that of the call that had ended", got[0])
	}
	for i, a := range got[1:] {
		if strings.HasPrefix(a, "call-") && a != fmt.Sprint("call-", i+1) {
			t.Errorf("answer %d is %q: another call's", i+1, a)
		}
	}
}
