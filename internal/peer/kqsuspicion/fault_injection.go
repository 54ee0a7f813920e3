//go:build kqfault

package kqsuspicion

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

var (
	// forgetsEnds makes the node forget under which requests upstreams ended, tellsNobody makes
	// it keep them to itself, and blamesAll makes it take each call without an answer for such
	// an end, and answers for nothing.
	forgetsEnds = kqfault.Enabled(kqfault.ForgetEnds)
	tellsNobody = kqfault.Enabled(kqfault.TellNobody)
	blamesAll   = kqfault.Enabled(kqfault.BlameAll)
)
