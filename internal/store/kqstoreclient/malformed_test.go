package kqstoreclient_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// operations calls each method of a store whose success says something.
func operations(s kqstore.Store) map[string]func(ctx context.Context) error {
	return map[string]func(ctx context.Context) error{
		"get": func(ctx context.Context) error {
			_, err := s.Get(ctx, "a")
			return err
		},
		"watch": func(ctx context.Context) error {
			_, err := s.Watch(ctx, "a", 1, time.Millisecond)
			return err
		},
		"put": func(ctx context.Context) error {
			_, err := s.Put(ctx, "a", nil, kqstore.NoLease)
			return err
		},
		"swap": func(ctx context.Context) error {
			_, err := s.Swap(ctx, "a", 1, nil, kqstore.NoLease)
			return err
		},
		"grant": func(ctx context.Context) error {
			_, err := s.Grant(ctx, time.Second)
			return err
		},
	}
}

// Guards against a response that is none of the store's and is taken for a success: a value that
// is not there, or a write that was not made.
func TestMalformedResponsesAreNoSuccess(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, response := range map[string]string{
		"status 000":                      "HTTP/1.1 000 OK\r\nConnection: close\r\n\r\n" + `{"revision":7,"lease":"l","entry":{"Key":"a","Revision":7}}`,
		"refusal with status 000":         "HTTP/1.1 000 OK\r\nConnection: close\r\n\r\n{\"error\":\"conflict\"}",
		"refusal with status 200":         ok + "\r\n{\"error\":\"not_found\"}",
		"status 500":                      "HTTP/1.1 500 Oh\r\nConnection: close\r\n\r\n{}",
		"no body":                         ok + "Content-Length: 0\r\n\r\n",
		"empty object":                    ok + "\r\n{}",
		"null":                            ok + "\r\nnull",
		"other object":                    ok + "\r\n{\"name\":1}",
		"cut off":                         ok + "\r\n{\"revision\":7,\"lease\":\"l\"",
		"cut by its length":               ok + "Content-Length: 12\r\n\r\n{\"revision\":7}",
		"blank in the name of the length": ok + "Content-Length : 99\r\n\r\n{\"revision\":7",
		"more than one value":             ok + "\r\n" + `{"revision":7,"lease":"l","entry":{"Key":"a","Revision":7}}{}`,
	} {
		for verb, operation := range operations(startStore(t, response, "")) {
			if err := operation(t.Context()); !errors.Is(err, kqstore.ErrUnavailable) {
				t.Errorf("%s, %s: error %v, want ErrUnavailable", name, verb, err)
			}
		}
	}
}
