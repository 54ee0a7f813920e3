// Package kqupstream is a fake upstream for demonstrations and tests: an HTTP
// server with slots that announces itself to its node, can misbehave in the
// ways that real ones do, and records every call that it ran.
package kqupstream
