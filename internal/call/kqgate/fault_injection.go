//go:build kqfault

package kqgate

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

var (
	// ignoresLimit and ignoresLeaving make the gate ignore what upstreams say of themselves,
	// and keepsLimit makes it keep a limit that was lifted.
	ignoresLimit   = kqfault.Enabled(kqfault.IgnoreLimit)
	keepsLimit     = kqfault.Enabled(kqfault.KeepLimit)
	ignoresLeaving = kqfault.Enabled(kqfault.IgnoreLeaving)
	// ignoresCold makes the gate send a cold upstream any number of calls.
	ignoresCold = kqfault.Enabled(kqfault.IgnoreCold)
)
