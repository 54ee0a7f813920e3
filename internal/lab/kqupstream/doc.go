// Package kqupstream is a fake upstream for demonstrations and tests: an HTTP server
// with slots that announces itself to its node, can be made to fail, slow down or shed
// load as real ones do, and counts the runs of every call.
package kqupstream
