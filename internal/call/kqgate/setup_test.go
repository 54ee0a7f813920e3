package kqgate_test

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// newCall returns a call to the path of the service "store" with a deadline in 10 s.
func newCall(path string) *kqcall.Call {
	c := &kqcall.Call{
		Service: "store", Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, Cancel: &kqcall.Cancel{},
		Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
	}
	c.Request.Header.SetRequestURI(path)
	c.Request.Header.SetHost("store")
	return c
}
