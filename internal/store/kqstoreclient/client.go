package kqstoreclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

const (
	// defaultTimeout bounds a call unless WithTimeout sets another timeout.
	defaultTimeout = 2 * time.Second
	// maxResultBytes bounds the body of a response. It fits a value of the largest size in
	// base64.
	maxResultBytes = 2*kqstore.MaxValueBytes + 4096
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// errMalformed means that a response is not the service's, or is not whole.
var errMalformed = errors.New("malformed response")

type (
	// Client implements kqstore.Store over HTTP by the protocol of kqfakestore. It
	// is safe for concurrent use.
	Client struct {
		url     string
		http    *http.Client
		timeout time.Duration
	}

	// Option configures a Client.
	Option func(*Client)
)

// WithTimeout sets the timeout of a call; a watch's wait is added to it.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the service at url, such as "http://10.0.0.1:7000".
func New(url string, options ...Option) *Client {
	c := &Client{url: url, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeadBytes}}, timeout: defaultTimeout}
	for _, o := range options {
		o(c)
	}
	return c
}

// Get implements kqstore.Store.
func (c *Client) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	a, err := c.request(ctx, "get", kqfakestore.Operation{Key: key}, 0)
	return a.Entry, err
}

// GetStale implements kqstore.Store. The service has no cheaper read, so it is Get.
func (c *Client) GetStale(ctx context.Context, key string) (kqstore.Entry, error) {
	return c.Get(ctx, key)
}

// Put implements kqstore.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	a, err := c.request(ctx, "put", kqfakestore.Operation{Key: key, Value: value, Lease: lease}, 0)
	return a.Revision, err
}

// Swap implements kqstore.Store.
func (c *Client) Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	a, err := c.request(ctx, "swap", kqfakestore.Operation{Key: key, Expected: expected, Value: value, Lease: lease}, 0)
	return a.Revision, err
}

// Delete implements kqstore.Store.
func (c *Client) Delete(ctx context.Context, key string, expected kqstore.Revision) error {
	_, err := c.request(ctx, "delete", kqfakestore.Operation{Key: key, Expected: expected}, 0)
	return err
}

// Grant implements kqstore.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error) {
	a, err := c.request(ctx, "grant", kqfakestore.Operation{WaitMS: ttl.Milliseconds()}, 0)
	return a.Lease, err
}

// Renew implements kqstore.Store.
func (c *Client) Renew(ctx context.Context, lease kqstore.Lease) error {
	_, err := c.request(ctx, "renew", kqfakestore.Operation{Lease: lease}, 0)
	return err
}

// Watch implements kqstore.Store.
func (c *Client) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	a, err := c.request(ctx, "watch", kqfakestore.Operation{Key: key, Expected: after, WaitMS: wait.Milliseconds()}, wait)
	return a.Entry, err
}

// request posts one operation and decodes its result. It returns ErrUnavailable if the
// service cannot be reached, or if its answer is malformed or has an unknown error code: a write
// may have been made then.
func (c *Client) request(ctx context.Context, verb string, request kqfakestore.Operation, wait time.Duration) (kqfakestore.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return kqfakestore.Result{}, fmt.Errorf("encode %s request: %w", verb, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/"+verb, bytes.NewReader(body))
	if err != nil {
		return kqfakestore.Result{}, fmt.Errorf("create %s request: %w", verb, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return kqfakestore.Result{}, fmt.Errorf("%s %s: %w: %w", verb, request.Key, kqstore.ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	a, err := readResult(resp, verb, request.Key)
	if err != nil {
		return kqfakestore.Result{}, fmt.Errorf("%s %s, status %d: %w: %w", verb, request.Key, resp.StatusCode, kqstore.ErrUnavailable, err)
	}
	if a.Error == "" {
		return a, nil
	}
	cause, ok := kqfakestore.Errors[a.Error]
	if !ok {
		cause = kqstore.ErrUnavailable
	}
	return a, fmt.Errorf("%s %s: %w", verb, request.Key, cause)
}

// readResult reads the result of an operation on the key, which either has an error or is
// complete.
func readResult(resp *http.Response, verb, key string) (a kqfakestore.Result, err error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes))
	if err != nil {
		return a, fmt.Errorf("read body: %w", err)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("decode body of %d bytes: %w", len(data), err)
	}
	isError := a.Error != "" && resp.StatusCode >= http.StatusBadRequest
	isSuccess := a.Error == "" && resp.StatusCode == http.StatusOK && isComplete(a, verb, key)
	if !isError && !isSuccess {
		return a, fmt.Errorf("neither an error nor a complete result: %w", errMalformed)
	}
	return a, nil
}

// isComplete reports whether the result of an operation on the key holds what its success says.
func isComplete(a kqfakestore.Result, verb, key string) bool {
	switch verb {
	case "get", "watch":
		return a.Entry.Key == key && a.Entry.Revision > 0
	case "put", "swap":
		return a.Revision > 0
	case "grant":
		return a.Lease != kqstore.NoLease
	default:
		return true
	}
}
