// Package kqapi implements the administration API: JSON over HTTP under /v1/,
// described by an OpenAPI document at /v1/openapi.json.
package kqapi
