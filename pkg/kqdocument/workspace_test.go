package kqdocument_test

import (
	"math"
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// Guards against a document in whose workspaces a caller could be taken for another one, or
// whose rates cannot be kept. Each must be refused with the path of the field.
func TestInvalidWorkspaces(t *testing.T) {
	key, other := strings.Repeat("0a", 32), strings.Repeat("0b", 32)
	valid := kqdocument.Workspace{Name: "a", KeyDigests: []string{key}, Class: kqdocument.ClassCritical, RatePerS: 5, Burst: 2}
	for path, w := range map[string]kqdocument.Workspace{
		"":                             {Name: "b", KeyDigests: []string{other}},
		"workspaces[1].name":           {},
		"workspaces[1].key_digests[0]": {Name: "b", KeyDigests: []string{key}},
		"workspaces[1].key_digests[1]": {Name: "b", KeyDigests: []string{other, other}},
		"workspaces[1].key_digests[2]": {Name: "b", KeyDigests: []string{other, strings.Repeat("0c", 32), strings.ToUpper(key)}},
		"workspaces[1].rate_per_s":     {Name: "b", RatePerS: math.NaN()},
		"workspaces[1].burst":          {Name: "b", Burst: -1},
		"workspaces[1].class":          {Name: "b", Class: "urgent"},
	} {
		problems := kqdocument.Validate(kqdocument.Document{Workspaces: []kqdocument.Workspace{valid, w}})
		if path == "" && len(problems) > 0 {
			t.Errorf("valid workspaces are refused: %v", problems)
		}
		if path != "" && (len(problems) != 1 || problems[0].Path != path) {
			t.Errorf("problems %v, want one at %s", problems, path)
		}
	}
	twice := kqdocument.Validate(kqdocument.Document{Workspaces: []kqdocument.Workspace{valid, {Name: "a"}}})
	if len(twice) != 1 || twice[0].Path != "workspaces[1].name" {
		t.Errorf("two workspaces of one name: %v", twice)
	}
}
