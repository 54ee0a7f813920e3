//go:build !kqfault

package kqgate

// These make the gate ignore what upstreams say of themselves or bear, or keep a limit that was
// lifted. Only the soak test's build (tag kqfault) can set them.
const (
	ignoresLimit   = false
	keepsLimit     = false
	ignoresLeaving = false
	ignoresCold    = false
)
