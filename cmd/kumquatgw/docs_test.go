package main_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
)

// Checks that the operators' page documents every metric, every reason of a call's outcome
// or of a refused configuration version, and every error code, so that an operator who
// sees one can look it up.
func TestOperationsPageDocumentsMetricsAndCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for code := range kqproblem.Statuses {
		names[string(code)] = true
	}
	for pattern, expression := range map[string]string{
		"../../internal/run/kqmetric/*.go":       `Name: "(kumquatgw_\w+)"`,
		"../../internal/call/kqcall/call.go":     `Reason = "(\w+)"`,
		"../../internal/config/kqreplica/*.go":   `\.onRefused\("(\w+)"\)`,
		"../../internal/security/*/*.go":         `Name: "(kumquatgw_\w+)"`,
		"../../internal/admin/kqproblem/pro*.go": `Code = "(\w+)"`,
	} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v, %d files", pattern, err, len(files))
		}
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range regexp.MustCompile(expression).FindAllStringSubmatch(string(source), -1) {
				names[m[1]] = true
			}
		}
	}
	for name := range names {
		if !strings.Contains(string(page), "`"+name+"`") && !strings.Contains(string(page), "`"+name+"{") {
			t.Errorf("docs/OPERATIONS.md does not document %s", name)
		}
	}
	if len(names) < 45 {
		t.Errorf("found %d names, want at least 45", len(names))
	}
}
