// Package kqexplain reads nodes' logs and tells one request's way through them:
// what each node decided, on which inputs and beliefs, and the cause of its end.
package kqexplain
