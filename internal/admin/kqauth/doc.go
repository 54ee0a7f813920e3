// Package kqauth tells who sends an operator's request: by token with each
// request, or by a session that a token began.
package kqauth
