package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An operator looks at a fleet from a terminal, over TLS. With the fleet's CA
// and his token he sees it; with a wrong token, or not knowing the CA, he is
// told which of the two is amiss.
func TestStatusOverTLS(t *testing.T) {
	folder := t.TempDir()
	for _, arguments := range [][]string{{"keys", "init", "--folder", folder}, {"keys", "issue", "home", "--folder", folder}} {
		if out, err := command(t, arguments...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", arguments, err, out)
		}
	}
	tokens := filepath.Join(folder, "tokens")
	out, err := command(t, "keys", "token", "ana", "--file", tokens).Output()
	if err != nil {
		t.Fatal(err)
	}
	token := strings.TrimSpace(strings.TrimPrefix(string(out), "token "))
	platform := after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	file := settings(t, "home", platform, "", "")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	more := "[admin]\nlisten = 127.0.0.1:0\ntokens = " + tokens + "\n[tls]\nca = " + filepath.Join(folder, "ca.pem") +
		"\ncertificate = " + filepath.Join(folder, "home.pem") + "\nkey = " + filepath.Join(folder, "home.key") + "\n"
	if err := os.WriteFile(file, append(text, more...), 0o600); err != nil {
		t.Fatal(err)
	}
	url := "https://" + after(t, start(t, "node", "--settings", file), "admin ")
	ca := filepath.Join(folder, "ca.pem")
	for _, c := range []struct {
		name      string
		arguments []string
		want      string
		fails     bool
	}{
		{"right", []string{"--ca", ca, "--token", token}, "NODE", false},
		{"wrong token", []string{"--ca", ca, "--token", "kq_wrong"}, "bad_token", true},
		{"no CA", []string{"--token", token}, "certificate", true},
	} {
		out, err := command(t, append([]string{"status", "--admin", url}, c.arguments...)...).CombinedOutput()
		if (err != nil) != c.fails || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: error %v, want %q in\n%s", c.name, err, c.want, out)
		}
		if strings.Contains(string(out), token) {
			t.Errorf("%s: the token is printed", c.name)
		}
	}
}
