package main_test

import (
	"strings"
	"testing"
)

// A command has a flag of its own called --version. The argument library then
// takes it for the program's version flag and sets no default of any other: an
// upstream announced 0 slots, its node refused it in silence, and every call
// ended as no_upstream.
func TestNoFlagIsCalledVersion(t *testing.T) {
	out, err := command(t, "--help-long").CombinedOutput()
	text := string(out)
	if err != nil || strings.Contains(text, "--version=") || !strings.Contains(text, "--upstream-version=") {
		t.Errorf("error %v, or a flag is called version:\n%s", err, text)
	}
}
