// Package kqauth authenticates operators: API requests by their bearer token,
// console requests by a session that was started with a token.
package kqauth
