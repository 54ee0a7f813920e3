package main_test

import (
	"strings"
	"testing"
)

// Guards against a command with a flag called --version. The argument library takes it
// for the program's version flag and then sets no other flag's default: an upstream
// announced 0 slots, its node ignored it without a message, and every call failed with
// no_upstream.
func TestNoFlagIsCalledVersion(t *testing.T) {
	out, err := command(t, "--help-long").CombinedOutput()
	text := string(out)
	if err != nil || strings.Contains(text, "--version=") || !strings.Contains(text, "--upstream-version=") {
		t.Errorf("error %v, or a command has a flag --version:\n%s", err, text)
	}
}
