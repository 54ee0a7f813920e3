package kqorigin

import "github.com/joomcode/errorx"

var (
	// namespace holds the package's error types. The errors are package-level
	// sentinels, so they carry no stack trace.
	namespace = errorx.NewNamespace("kqorigin").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// errNotNewer means that the operators' number for a document does not exceed that
	// of the current one.
	errNotNewer = namespace.NewType("old").New("not newer than the current document")
	errInvalid  = namespace.NewType("invalid").New("document is invalid")
)
