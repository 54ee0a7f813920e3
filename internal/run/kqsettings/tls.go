package kqsettings

// tlsFileCount is the number of files that TLS needs: CA, certificate and key.
const tlsFileCount = 3

// requiresTLS holds the keys of listeners that need TLS beyond loopback, unless the
// network is trusted: without TLS the gate and the control server accept every peer
// that can connect, and operators' tokens reach the admin server in clear text.
// entry_listen is open to any caller by design and ignores internal headers.
var requiresTLS = map[string]bool{"gate_listen": true, "control_listen": true, "listen": true}

// On reports whether TLS is enabled, that is, whether all three files are set.
func (t TLS) On() bool { return t.fileCount() == tlsFileCount }

// fileCount returns how many of the three files are set.
func (t TLS) fileCount() int {
	n := 0
	for _, file := range []string{t.CA, t.Certificate, t.Key} {
		if file != "" {
			n++
		}
	}
	return n
}
