// Package kqkeylog writes the log lines about API keys that are refused as revoked.
package kqkeylog
