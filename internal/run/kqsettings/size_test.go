package kqsettings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
)

// A platform may state a server's memory with a fraction of a megabyte. If such a
// size were refused, the node would not start.
func TestSizeAcceptsFraction(t *testing.T) {
	for text, want := range map[string]int{"284MB": 284 << 20, "284.5MB": 569 << 19, "0.25GB": 1 << 28, "1.5": -1, "1.x5MB": -1, "9999999999.5GB": -1} {
		file := filepath.Join(t.TempDir(), "node.ini")
		if err := os.WriteFile(file, []byte("[node]\nname = a\ndomain = b\nmemory = "+text+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := kqsettings.Read(file)
		switch {
		case want < 0 && err == nil:
			t.Errorf("invalid size %q was read as %d", text, s.Node.Memory)
		case want >= 0 && (err != nil || s.Node.Memory != want):
			t.Errorf("size %q was read as %d with error %v, want %d", text, s.Node.Memory, err, want)
		}
	}
}
