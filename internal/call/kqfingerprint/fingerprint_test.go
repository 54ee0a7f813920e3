package kqfingerprint_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
)

func request(method, host, uri, body string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.Header.SetMethod(method)
	r.Header.SetHost(host)
	r.SetRequestURI(uri)
	r.SetBodyString(body)
	return r
}

func Example() {
	first, again := request("GET", "store", "/stock?id=7", ""), request("GET", "STORE", "/stock?id=7", "")
	again.Header.Set("Kq-Call-Id", "another")
	fmt.Println(kqfingerprint.Of(first) == kqfingerprint.Of(again))
	fmt.Println(kqfingerprint.Of(first) == kqfingerprint.Of(request("GET", "store", "/stock?id=8", "")))
	// Output:
	// true
	// false
}

// Guards against requests that differ in one part only and are taken for the same.
func TestEachPartCounts(t *testing.T) {
	seen := make(map[kqfingerprint.Fingerprint]string)
	for _, r := range []*fasthttp.Request{
		request("POST", "store", "/a", "x"), request("PUT", "store", "/a", "x"), request("POST", "shop", "/a", "x"),
		request("POST", "store", "/a?b", "x"), request("POST", "store", "/a", "y"), request("POST", "store", "/a", ""),
		request("POST", "store", "/ax", ""), request("POST", "store/a", "x", ""),
	} {
		f, text := kqfingerprint.Of(r), r.String()
		if other, ok := seen[f]; ok {
			t.Errorf("%q and %q have the same fingerprint", text, other)
		}
		seen[f] = text
		if parsed, err := kqfingerprint.Parse(f.String()); err != nil || parsed != f {
			t.Errorf("parsed %v from %v, %v", parsed, f, err)
		}
	}
	for _, text := range []string{"", "zz", "0123456789abcdef0123456789abcdeg"} {
		if _, err := kqfingerprint.Parse(text); !errors.Is(err, kqfingerprint.ErrMalformed) {
			t.Errorf("parsing %q gives %v, want ErrMalformed", text, err)
		}
	}
}
