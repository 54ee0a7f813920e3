package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a command that takes, prints or sends a key, removes another key than the one
// that is named, or adds one twice.
func TestWorkspaceCommands(t *testing.T) {
	folder := t.TempDir()
	tokens, keyFile, item := filepath.Join(folder, "tokens"), filepath.Join(folder, "key"), filepath.Join(folder, "item")
	out, err := command(t, "keys", "token", "ana", "--file", tokens).Output()
	if err != nil {
		t.Fatal(err)
	}
	token := strings.TrimSpace(strings.TrimPrefix(string(out), "token "))
	platform := readAfter(t, startCommand(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	file := writeSettings(t, "home", platform, "", "")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string]string{file: string(text) + "[admin]\nlisten = 127.0.0.1:0\ntokens = " + tokens + "\n", keyFile: "zebra-1\n", item: "{}"} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	url := "http://" + readAfter(t, startCommand(t, "node", "--settings", file), "admin ")
	// The digest of zebra-1 begins with this id.
	const id = "44af1b3bc07ce4be"
	for _, c := range []struct {
		arguments string
		stdin     string
		want      string
		fails     bool
	}{
		{"item put workspaces acme " + item + " --reason first", "", "committed", false},
		{"workspaces add-key acme --reason one --key-file " + keyFile, "", "acme holds 1 keys in version 2", false},
		{"workspaces add-key acme --reason twice --key-file " + keyFile, "", "holds the key already", true},
		{"workspaces add-key acme --reason two", "zebra-2\n", "acme holds 2 keys in version 3", false},
		{"workspaces add-key acme --reason words", "zebra 3", "visible characters", true},
		{"workspaces list", "", id, false},
		{"workspaces remove-key acme --reason short --key-id 00", "", "16 digits", true},
		{"workspaces remove-key acme --reason other", "zebra-4", "does not hold", true},
		{"workspaces remove-key acme --reason over --key-id " + id, "", "acme holds 1 keys in version 4", false},
		{"workspaces remove-key acme --reason over", "zebra-2", "acme holds 0 keys in version 5", false},
	} {
		cmd := command(t, append(strings.Fields(c.arguments), "--admin", url, "--token", token)...)
		cmd.Stdin = strings.NewReader(c.stdin)
		out, err := cmd.CombinedOutput()
		if (err != nil) != c.fails || !strings.Contains(string(out), c.want) || strings.Contains(string(out), "zebra") {
			t.Errorf("%s: error %v, want %q in output and no key\n%s", c.arguments, err, c.want, out)
		}
	}
}
