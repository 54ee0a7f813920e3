// Package kqchange makes operators' changes: whichever way one comes, it becomes
// an edit of the one document, is checked against who sends it, and goes through
// the committer.
package kqchange
