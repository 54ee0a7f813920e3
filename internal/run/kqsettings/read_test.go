package kqsettings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
)

// Guards against a node that does not start since the platform does not state a limit and fills
// in nothing. A required setting must still be filled in.
func TestEmptyValueKeepsTheDefault(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.ini")
	text := "[node]\nname = a\ndomain = b\nregion =\ndescriptors =\nlink = \nmemory =\nkill_after =\n[call]\nquarantine =\nslots =\n[member]\nseeds =\nannounce_interval =\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := kqsettings.Read(file)
	want := kqsettings.Default()
	want.Node.Name, want.Node.Domain = "a", "b"
	if err != nil || !reflect.DeepEqual(s, want) {
		t.Errorf("read %+v with error %v, want the defaults", s, err)
	}
	if err := os.WriteFile(file, []byte("[node]\nname =\ndomain = b\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := kqsettings.Read(file); err == nil {
		t.Error("a required name may be empty")
	}
}

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
