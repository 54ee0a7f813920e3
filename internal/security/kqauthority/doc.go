// Package kqauthority is the fleet's private certificate authority. It is an
// operator's tool: nodes hold its certificate, never its key.
package kqauthority
