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
	timeout   = 10 * time.Second
	maxAnswer = 16 << 20
)

// ErrAnswer tells that an answer is not one of the API's.
var ErrAnswer = errors.New("answer is not the API's")

type (
	// Client asks one node.
	Client struct {
		url, token string
		http       *http.Client
	}

	// Access says where the API is and who asks.
	Access struct {
		// URL is the admin server's, such as "https://10.0.0.1:8084".
		URL string
		// Token is the operator's.
		Token string
		// CA is the PEM file of the fleet's CA; "" takes the system's.
		CA string
	}
)

// New returns a client.
func New(a Access) (*Client, error) {
	c := &Client{url: a.URL, token: a.Token, http: &http.Client{Timeout: timeout}}
	if a.CA == "" {
		return c, nil
	}
	data, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, fmt.Errorf("read CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("read CA %s: no certificate: %w", a.CA, ErrAnswer)
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// Get reads one path, such as "/v1/fleet", into value. A refusal comes as a
// *kqproblem.Problem.
func (c *Client) Get(ctx context.Context, path string, value any) error {
	return c.Do(ctx, http.MethodGet, path, nil, value)
}

// Do sends body as JSON, unless it is nil, and reads the answer into value. A
// refusal comes as a *kqproblem.Problem.
func (c *Client) Do(ctx context.Context, method, path string, body, value any) error {
	var sent bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&sent).Encode(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, c.url+path, &sent)
	if err != nil {
		return fmt.Errorf("ask %s: %w", path, err)
	}
	if c.token != "" {
		q.Header.Set("Authorization", "Bearer "+c.token)
	}
	a, err := c.http.Do(q)
	if err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	answer := json.NewDecoder(io.LimitReader(a.Body, maxAnswer))
	if a.StatusCode != http.StatusOK {
		var p kqproblem.Problem
		if err := answer.Decode(&p); err != nil || p.Code == "" {
			return fmt.Errorf("%s answered %s: %w", path, a.Status, ErrAnswer)
		}
		return &p
	}
	if err := answer.Decode(value); err != nil {
		return fmt.Errorf("read answer of %s: %w", path, errors.Join(ErrAnswer, err))
	}
	return nil
}
