package kqfault

const (
	// IgnoreReload makes a node stop handling the reload signal SIGHUP once its
	// shutdown has begun. The signal's default action then ends the process and its
	// calls.
	IgnoreReload Kind = "reload"
	// RetryNonIdempotent makes a node retry calls that are not idempotent and may have
	// run.
	RetryNonIdempotent Kind = "repeat"
	// IgnoreDraining makes a node ignore Draining in announcements: it acknowledges that
	// an upstream is draining, but keeps sending calls to it. Despite the fault's value,
	// goodbyes (field Gone) still apply.
	IgnoreDraining Kind = "goodbye"

	// IgnoreLimit makes a gate ignore the limits that upstreams name.
	IgnoreLimit Kind = "limit"
	// KeepLimit makes a gate keep a limit that its upstream has lifted.
	KeepLimit Kind = "lifted"
	// IgnoreLeaving makes a gate ignore that an upstream says in its answers that it leaves.
	IgnoreLeaving Kind = "leaving"

	// IgnoreCold makes a gate send a cold upstream any number of calls.
	IgnoreCold Kind = "cold"
	// IgnoreEvacuation makes a node ignore evacuations of failure domains.
	IgnoreEvacuation Kind = "evacuation"

	// ForgetEnds makes a node forget under which requests upstreams ended.
	ForgetEnds Kind = "forget"
	// TellNobody makes a node keep to itself under which requests upstreams ended.
	TellNobody Kind = "tell"
	// BlameAll makes a node take each call without an answer for the end of its upstream, and
	// answers for nothing.
	BlameAll Kind = "blame"

	// EnvVariable is the environment variable that selects the fault.
	EnvVariable = "KUMQUATGW_FAULT"
)

// Kind identifies an injected fault.
type Kind string
