package kqorigin

import "github.com/joomcode/errorx"

var (
	// namespace holds the package's error types; its errors are made once and carry
	// no stack.
	namespace = errorx.NewNamespace("kqorigin").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	errOld     = namespace.NewType("old").New("not newer than the document in force")
	errInvalid = namespace.NewType("invalid").New("document is not valid")
)
