package kqrawserver_test

import (
	"fmt"
	"net/http"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqrawserver"
)

func ExampleServer() {
	s, err := kqrawserver.Start("HTTP/1.1 299 Odd\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = s.Close() }()
	resp, err := http.Get(s.URL())
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = resp.Body.Close()
	fmt.Println(resp.Status)
	// Output: 299 Odd
}
