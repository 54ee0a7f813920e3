package kqstoreclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// maxResponseBytes bounds a response with faults, counts or an error text.
const maxResponseBytes = 64 << 10

var errRefused = errors.New("fake store refused the request")

// SetFaults replaces the injected faults of a fake store and returns the faults that it
// then reports.
func (c *Client) SetFaults(ctx context.Context, f kqfakestore.Faults) (kqfakestore.Faults, error) {
	var set kqfakestore.Faults
	body, err := json.Marshal(f)
	if err != nil {
		return set, fmt.Errorf("set faults: %w", err)
	}
	if err := c.requestFakeStore(ctx, http.MethodPut, "/faults", body, &set); err != nil {
		return set, fmt.Errorf("set faults: %w", err)
	}
	return set, nil
}

// Counts returns how many calls a fake store has received.
func (c *Client) Counts(ctx context.Context) (kqfakestore.Counts, error) {
	var counts kqfakestore.Counts
	if err := c.requestFakeStore(ctx, http.MethodGet, "/counts", nil, &counts); err != nil {
		return counts, fmt.Errorf("read counts: %w", err)
	}
	return counts, nil
}

// requestFakeStore sends a request to the faults or counts of a fake store.
func (c *Client) requestFakeStore(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call fake store: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w with status %d: %s", errRefused, resp.StatusCode, bytes.TrimSpace(data))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}
