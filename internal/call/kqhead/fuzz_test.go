package kqhead_test

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqhead"
)

// seeds are heads that parsers read in different ways, and such as are unusual but valid.
var seeds = []string{
	usualHead,
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200\r\n\r\n",
	"HTTP/1.2 204 \xfc\r\n!#$%&'*+-.^_`|~: \xff\t\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED\r\nTrailer: X-Sum\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\nContent-Length: 02\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551618\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Name: a\r\n\tContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Name: a\r\n\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200 OK\nContent-Length: 2\n\n",
	"\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\nConnection: Close\r\n\r\n",
}

// leadingZeros matches a length up to its first digit that counts. The second parser compares lengths
// as texts, by which 2 and 02 differ.
var leadingZeros = regexp.MustCompile(`(?i)(\ncontent-length:[ \t]*)0+([0-9])`)

// Guards against a head that is accepted although the HTTP library reads another status or length
// from it than a second parser does, or another end.
func FuzzAcceptedHeadsHaveOneMeaning(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c kqhead.Checker
		length, err := c.Check(data)
		if err != nil || length == 0 {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(data), len(data)+1)
		var read fasthttp.ResponseHeader
		if read.Read(r) != nil {
			return
		}
		second, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(leadingZeros.ReplaceAll(data, []byte("$1$2")))), nil)
		if err != nil {
			t.Fatalf("%q is accepted, but: %v", data[:length], err)
		}
		if rest := len(data) - length; r.Buffered() != rest {
			t.Fatalf("%q ends before %d bytes, for the library before %d", data, rest, r.Buffered())
		}
		if read.StatusCode() != second.StatusCode {
			t.Fatalf("%q has status %d and %d", data[:length], read.StatusCode(), second.StatusCode)
		}
		hasBody := second.StatusCode >= 200 && second.StatusCode != http.StatusNoContent && second.StatusCode != http.StatusNotModified
		isChunked := len(second.TransferEncoding) > 0
		if isLengthDifferent := max(int64(read.ContentLength()), -1) != second.ContentLength; hasBody && (isLengthDifferent || (read.ContentLength() == -1) != isChunked) {
			t.Fatalf("%q has lengths %d and %d, chunks %t", data[:length], read.ContentLength(), second.ContentLength, isChunked)
		}
	})
}
