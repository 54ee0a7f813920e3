package kqclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
)

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 16 << 20
)

// ErrBadResponse is returned for a response that the administration API would
// not send, and for a CA file without a certificate.
var ErrBadResponse = errors.New("not a response of the administration API")

type (
	// Client sends requests to one node's API.
	Client struct {
		url, token string
		http       *http.Client
	}

	// Access holds the API's address and the operator's credentials.
	Access struct {
		// URL is the admin server's base URL, such as "https://10.0.0.1:8084".
		URL string
		// Token is the operator's bearer token.
		Token string
		// CA is the PEM file of the fleet's CA; if empty, the system's CAs are
		// trusted.
		CA string
	}
)

// New returns a client for the given API.
func New(a Access) (*Client, error) {
	c := &Client{url: a.URL, token: a.Token, http: &http.Client{Timeout: requestTimeout}}
	if a.CA == "" {
		return c, nil
	}
	data, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, fmt.Errorf("read CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("read CA %s: no certificate: %w", a.CA, ErrBadResponse)
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// Get fetches a path such as "/v1/fleet" and decodes the response into value. A
// refused request returns a *kqproblem.Problem as the error.
func (c *Client) Get(ctx context.Context, path string, value any) error {
	return c.Do(ctx, http.MethodGet, path, nil, value)
}

// Do sends body as JSON, unless it is nil, and decodes the response into value.
// A refused request returns a *kqproblem.Problem as the error.
func (c *Client) Do(ctx context.Context, method, path string, body, value any) error {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, &payload)
	if err != nil {
		return fmt.Errorf("create request for %s: %w", path, err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		var p kqproblem.Problem
		if err := decoder.Decode(&p); err != nil || p.Code == "" {
			return fmt.Errorf("%s returned status %s: %w", path, resp.Status, ErrBadResponse)
		}
		return &p
	}
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("decode response of %s: %w", path, errors.Join(ErrBadResponse, err))
	}
	return nil
}
