// Package kqauthority implements the fleet's private certificate authority. Only
// operators use it to issue certificates: nodes have its certificate, never its key.
package kqauthority
