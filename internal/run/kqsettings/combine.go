package kqsettings

import (
	"fmt"
	"net"
	"net/url"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// combinations refuses settings that are sound alone but not together. Those
// that have a fault of their own are left out: they stand at their default,
// which the file does not say.
func (r *reader) combinations(s Settings) {
	if s.Member.UpstreamTTL < 2*s.Member.Heartbeat {
		r.together("member", "upstream_ttl", "heartbeat", "must be at least twice heartbeat, or upstreams come and go")
	}
	if n := s.TLS.set(); n != 0 && n != tlsFiles {
		r.fault("tls", "certificate", "ca, certificate and key go together")
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		r.fault("platform", "url", "%q is not a URL like http://10.0.0.1:7070", s.Platform.URL)
	}
	for _, seed := range s.Member.Seeds {
		if !isAddress(seed) || !reachable(kqname.Address(seed)) {
			r.fault("member", "seeds", "%q is not an address like 10.0.0.1:8083", seed)
		}
	}
	r.listens(s)
	r.advertised(s.Node.GateAddress, s.Node.GateListen, "gate_address", "gate_listen")
	r.advertised(s.Node.ControlAddress, s.Node.ControlListen, "control_address", "control_listen")
}

func (r *reader) listens(s Settings) {
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
		if a.address == "" && (a.section == "admin" || a.key == "ready_listen") || r.faulty[a.section+"."+a.key] {
			continue
		}
		host, port, err := net.SplitHostPort(string(a.address))
		if err != nil {
			r.fault(a.section, a.key, "must not be empty")
			continue
		}
		if !s.TLS.On() && !s.TLS.Trusted && tlsGuarded[a.key] && !net.ParseIP(host).IsLoopback() {
			r.fault(a.section, a.key, "%q is not a loopback address, so [tls] must be set", a.address)
		}
		if a.key == "local_listen" && !s.TLS.Trusted && !net.ParseIP(host).IsLoopback() {
			r.fault(a.section, a.key, "%q is not a loopback address, so anybody could announce upstreams", a.address)
		}
		if other, ok := used[a.address]; ok && port != "0" {
			r.fault(a.section, a.key, "%s is %s's too", a.address, other)
		}
		used[a.address] = a.key
	}
}

// advertised checks the address that other nodes are told. A node that listens
// on every address and tells them that would look alive to nobody.
func (r *reader) advertised(address, listen kqname.Address, key, listenKey string) {
	switch {
	case address != "" && !reachable(address):
		r.fault("node", key, "%q is not an address that other nodes can reach", address)
	case address == "" && listen != "" && !reachable(listen) && !fromKernel(listen):
		r.together("node", key, listenKey, fmt.Sprintf("must be set, since others cannot reach %s", listen))
	}
}

// together states a fault of two settings, unless one of them is faulty itself.
func (r *reader) together(section, key, other, message string) {
	if !r.faulty[section+"."+key] && !r.faulty[section+"."+other] {
		r.fault(section, key, "%s", message)
	}
}

// reachable reports whether an address names one host and a port.
func reachable(a kqname.Address) bool {
	host, port, err := net.SplitHostPort(string(a))
	return err == nil && !net.ParseIP(host).IsUnspecified() && port != "0"
}

// fromKernel reports whether an address names one host whose port the kernel
// chooses; the node tells others the one that it got.
func fromKernel(a kqname.Address) bool {
	host, port, err := net.SplitHostPort(string(a))
	return err == nil && port == "0" && !net.ParseIP(host).IsUnspecified()
}
