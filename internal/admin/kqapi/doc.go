// Package kqapi is the administration API: JSON under /v1/, described by the
// OpenAPI document that it serves itself.
package kqapi
