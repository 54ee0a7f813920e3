package kqhead_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqhead"
)

// usualHead is a head as upstreams send it.
const usualHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 512\r\n" +
	"Date: Sun, 06 Dec 2026 10:00:00 GMT\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Load: 3,0,8\r\nCache-Control: no-store\r\n\r\n"

// Guards against a head that is judged otherwise if it arrives in pieces.
func TestHeadsInPieces(t *testing.T) {
	for head, valid := range map[string]bool{usualHead: true, strings.Replace(usualHead, "200", "000", 1): false} {
		data := []byte(head + "body")
		var c kqhead.Checker
		for n := range len(data) + 1 {
			length, err := c.Check(data[:n])
			if err != nil {
				if valid || !errors.Is(err, kqhead.ErrMalformed) {
					t.Fatalf("%d bytes: %v", n, err)
				}
				break
			}
			if length > 0 || n >= len(head) {
				if !valid || n != len(head) || length != n {
					t.Fatalf("%d bytes of %d: length %d, valid %t", n, len(head), length, valid)
				}
				break
			}
		}
	}
}

// Guards against bytes of a peer that fill the log or reach it unescaped.
func TestErrorsQuoteLittle(t *testing.T) {
	var c kqhead.Checker
	_, err := c.Check([]byte("\x1b[2J" + strings.Repeat("\x00", 4000) + "\r\n"))
	if !errors.Is(err, kqhead.ErrMalformed) {
		t.Fatal(err)
	}
	if text := err.Error(); len(text) > 300 || strings.ContainsAny(text, "\x00\x1b\r\n") {
		t.Errorf("%d bytes: %.100q", len(text), text)
	}
}

// BenchmarkCheck measures what the check adds to a call.
func BenchmarkCheck(b *testing.B) {
	data := []byte(usualHead)
	b.ReportAllocs()
	for b.Loop() {
		var c kqhead.Checker
		if _, err := c.Check(data); err != nil {
			b.Fatal(err)
		}
	}
}
