package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Checks the status command over TLS: it works with the fleet's CA and a valid token, and
// otherwise its error says whether the token or the certificate is at fault. The valid
// token is never printed.
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
	platform := readAfter(t, startCommand(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	file := writeSettings(t, "home", platform, "", "")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	more := "[admin]\nlisten = 127.0.0.1:0\ntokens = " + tokens + "\n[tls]\nca = " + filepath.Join(folder, "ca.pem") +
		"\ncertificate = " + filepath.Join(folder, "home.pem") + "\nkey = " + filepath.Join(folder, "home.key") + "\n"
	if err := os.WriteFile(file, append(text, more...), 0o600); err != nil {
		t.Fatal(err)
	}
	url := "https://" + readAfter(t, startCommand(t, "node", "--settings", file), "admin ")
	ca := filepath.Join(folder, "ca.pem")
	for _, c := range []struct {
		name      string
		arguments []string
		want      string
		fails     bool
	}{
		{"valid CA and token", []string{"--ca", ca, "--token", token}, "NODE", false},
		{"wrong token", []string{"--ca", ca, "--token", "kq_wrong"}, "bad_token", true},
		{"no CA", []string{"--token", token}, "certificate", true},
	} {
		out, err := command(t, append([]string{"status", "--admin", url}, c.arguments...)...).CombinedOutput()
		if (err != nil) != c.fails || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: error %v, want %q in output\n%s", c.name, err, c.want, out)
		}
		if strings.Contains(string(out), token) {
			t.Errorf("%s: the valid token is printed", c.name)
		}
	}
}
