package kqsettings

const tlsFiles = 3

// tlsGuarded are the listeners that would obey anybody who can reach them:
// without TLS they must not leave the server. Callers' own listener serves
// anybody by its nature and obeys none of the internal headers.
var tlsGuarded = map[string]bool{"gate_listen": true, "control_listen": true, "listen": true}

// On reports whether TLS is switched on.
func (t TLS) On() bool { return t.set() == tlsFiles }

// set counts the files that are named.
func (t TLS) set() int {
	n := 0
	for _, file := range []string{t.CA, t.Certificate, t.Key} {
		if file != "" {
			n++
		}
	}
	return n
}
