// Package kqexcess decides, at a gate, which calls are in excess of their workspace's usual
// load.
//
// Load pattern: a workspace of an urgent class sends seven times its usual load for some
// seconds. Ordered by class alone, the flood takes the capacity of all less urgent workspaces:
// on 18 slots that 87 workspaces share, some lose 0.23 of their calls.
//
// Each workspace has a bucket of expected work. It is filled at maxRatio times the workspace's
// usual load, which is a mean over a minute, or at the workspace's fair share of the slots if
// that is more. A call that finds the bucket empty is in excess. Such calls do not count
// towards the usual load, which therefore follows a lasting change within minutes and hardly
// follows a flood of some seconds.
package kqexcess
