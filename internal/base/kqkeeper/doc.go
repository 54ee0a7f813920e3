// Package kqkeeper keeps a panic to the work that panicked.
//
// A fault in the code that handles one call, one message or one part's step would
// otherwise end the process, and cut every call under way; one in the background,
// caught by its group until the process ends, would leave the part dead in silence
// while the node serves on.
package kqkeeper
