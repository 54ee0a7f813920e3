package kqfault

const (
	// Reload makes a node stop handling the reload signal SIGHUP once its shutdown
	// has begun. The signal's default action then ends the process and its calls.
	Reload Kind = "reload"
	// Repeat makes a node retry calls that are not idempotent and may have run.
	Repeat Kind = "repeat"
	// Goodbye makes a node acknowledge an upstream's announcement that it is draining,
	// but keep sending calls to it. A goodbye (field Gone) still takes effect.
	Goodbye Kind = "goodbye"

	// EnvVariable is the environment variable that selects the fault.
	EnvVariable = "KUMQUATGW_FAULT"
)

// Kind identifies an injected fault.
type Kind string
