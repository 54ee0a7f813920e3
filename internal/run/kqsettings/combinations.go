package kqsettings

import (
	"fmt"
	"net"
	"net/url"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// checkCombinations reports settings that are valid alone but not together, and
// addresses of the platform and of seeds that are malformed. The checks of listen
// addresses and of pairs skip settings that already have an error of their own: these
// still hold their default, which the file does not state.
func (r *fileReader) checkCombinations(s Settings) {
	// This is only a lower bound for upstream_ttl. Heartbeats do not renew upstreams: the
	// time counts from an upstream's own last announcement.
	if s.Member.UpstreamTTL < 2*s.Member.Heartbeat {
		r.addPairError("member", "upstream_ttl", "heartbeat", "must be at least twice heartbeat, or upstreams may expire and reappear")
	}
	if n := s.TLS.fileCount(); n != 0 && n != tlsFileCount {
		r.addError("tls", "certificate", "ca, certificate and key go together")
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		r.addError("platform", "url", "%q is not a URL like http://10.0.0.1:7070", s.Platform.URL)
	}
	for _, seed := range s.Member.Seeds {
		if !isAddress(seed) || !isReachable(kqname.Address(seed)) {
			r.addError("member", "seeds", "%q is not an address like 10.0.0.1:8083", seed)
		}
	}
	r.checkListenAddresses(s)
	r.checkAdvertisedAddress(s.Node.GateAddress, s.Node.GateListen, "gate_address", "gate_listen")
	r.checkAdvertisedAddress(s.Node.ControlAddress, s.Node.ControlListen, "control_address", "control_listen")
}

// checkListenAddresses reports listen addresses that are empty, used twice, or
// beyond loopback without the protection that their listener needs. The admin and the
// readiness server may have none, and several listeners may use port 0.
func (r *fileReader) checkListenAddresses(s Settings) {
	used := make(map[kqname.Address]string)
	for _, a := range []struct {
		section, key string
		address      kqname.Address
	}{
		{"node", "entry_listen", s.Node.EntryListen},
		{"node", "local_listen", s.Node.LocalListen},
		{"node", "gate_listen", s.Node.GateListen},
		{"node", "control_listen", s.Node.ControlListen},
		{"node", "ready_listen", s.Node.ReadyListen},
		{"admin", "listen", s.Admin.Listen},
	} {
		if a.address == "" && (a.section == "admin" || a.key == "ready_listen") || r.invalid[a.section+"."+a.key] {
			continue
		}
		host, port, err := net.SplitHostPort(string(a.address))
		if err != nil {
			r.addError(a.section, a.key, "must not be empty")
			continue
		}
		if !s.TLS.On() && !s.TLS.TrustedNetwork && requiresTLS[a.key] && !net.ParseIP(host).IsLoopback() {
			r.addError(a.section, a.key, "%q is not a loopback address, so [tls] must be set", a.address)
		}
		if a.key == "local_listen" && !s.TLS.TrustedNetwork && !net.ParseIP(host).IsLoopback() {
			r.addError(a.section, a.key, "%q is not a loopback address, so anybody could announce upstreams", a.address)
		}
		if other, ok := used[a.address]; ok && port != "0" {
			r.addError(a.section, a.key, "%s is %s's too", a.address, other)
		}
		used[a.address] = a.key
	}
}

// checkAdvertisedAddress checks the address that other nodes connect to. A node
// that advertised an unspecified address such as 0.0.0.0 would be unreachable for
// all of them.
func (r *fileReader) checkAdvertisedAddress(address, listen kqname.Address, key, listenKey string) {
	switch {
	case address != "" && !isReachable(address):
		r.addError("node", key, "%q is not an address that other nodes can reach", address)
	case address == "" && listen != "" && !isReachable(listen) && !hasKernelPort(listen):
		r.addPairError("node", key, listenKey, fmt.Sprintf("must be set, since others cannot reach %s", listen))
	}
}

// addPairError records an error of two settings together, unless one of them already
// has an error of its own.
func (r *fileReader) addPairError(section, key, other, message string) {
	if !r.invalid[section+"."+key] && !r.invalid[section+"."+other] {
		r.addError(section, key, "%s", message)
	}
}

// isReachable reports whether an address has a specific IP address and a fixed
// port, so that other nodes can connect to it.
func isReachable(a kqname.Address) bool {
	host, port, err := net.SplitHostPort(string(a))
	return err == nil && !net.ParseIP(host).IsUnspecified() && port != "0"
}

// hasKernelPort reports whether an address has a specific IP address and port 0,
// for which the kernel chooses a port; the node advertises the chosen one.
func hasKernelPort(a kqname.Address) bool {
	host, port, err := net.SplitHostPort(string(a))
	return err == nil && port == "0" && !net.ParseIP(host).IsUnspecified()
}
