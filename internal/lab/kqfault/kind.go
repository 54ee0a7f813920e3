package kqfault

const (
	// Reload has a node that was told to stop take the reload signal no more, which
	// then ends it with its calls.
	Reload Kind = "reload"
	// Repeat has calls sent again that may have run and are not idempotent.
	Repeat Kind = "repeat"
	// Goodbye has a node acknowledge an upstream's goodbye and use it on.
	Goodbye Kind = "goodbye"

	// Variable is the environment variable that names the fault to have.
	Variable = "KUMQUATGW_FAULT"
)

// Kind names a fault.
type Kind string
