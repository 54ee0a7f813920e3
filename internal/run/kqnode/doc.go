// Package kqnode assembles one node from its parts: listeners, configuration,
// calls, rollouts, membership and admin server. It also connects them to a
// platform's own formats, starts them, and drains and stops them.
//
// Routing, admission, the verification of versions and the weighing of evidence
// are not implemented here but in the packages that it assembles.
package kqnode
