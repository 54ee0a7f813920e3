// Package kqboard holds what one node knows of the rollouts in its
// configuration, and applies it to calls: which version each may go to, and
// which the gate still lets in. Any node that sees a version fail stops sending
// to it at once, whoever owns the rollout and whether or not the platform
// answers.
package kqboard
