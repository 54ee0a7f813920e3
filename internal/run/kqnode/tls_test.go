package kqnode_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/security/kqauthority"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const awaitTimeout = 10 * time.Second

// tlsFleet is a fleet whose nodes have certificates of one authority.
type tlsFleet struct {
	*kqfleet.Fleet
	authority *kqauthority.Authority
	folder    string
}

func newTLSFleet(t *testing.T, seeds ...string) *tlsFleet {
	t.Helper()
	s := &tlsFleet{authority: newAuthority(t), folder: t.TempDir()}
	ca := writeCA(t, s.folder, s.authority)
	s.Fleet = kqfleet.New(kqfleet.WithSettings(func(n *kqsettings.Settings) {
		s.issue(t, n.Node.Name)
		n.TLS.CA = ca
		n.TLS.Certificate, n.TLS.Key = kqauthority.Paths(s.folder, string(n.Node.Name))
		n.TLS.ReloadEvery = 20 * time.Millisecond
		n.Call.ReadTimeout = time.Second
		n.Member.Heartbeat = 50 * time.Millisecond
		n.Member.Seeds = append(n.Member.Seeds, seeds...)
	}))
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Errorf("close fleet: %v", err)
		}
	})
	return s
}

func (s *tlsFleet) issue(t *testing.T, node kqname.Node) {
	t.Helper()
	pair, err := s.authority.Issue(kqauthority.Subject{Node: node, Addresses: []string{"127.0.0.1"}}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Write(s.folder, string(node)); err != nil {
		t.Fatal(err)
	}
}

func (s *tlsFleet) start(t *testing.T, node kqname.Node, service kqname.Service) *kqfleet.Server {
	t.Helper()
	server, err := s.Start(kqfleet.Spec{
		Node: node, Domain: "one", Region: "one", Service: service, Version: "v1", Slots: 8,
		Behaviour: kqupstream.Behaviour{Work: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	return server
}

func (s *tlsFleet) commit(t *testing.T) {
	t.Helper()
	d := kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "shop"}},
		Services: []kqdocument.Service{{Name: "store", Team: "shop"}},
		Routes:   []kqdocument.Route{{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store"}},
	}
	o, err := kqcommit.New(s.Platform).Commit(t.Context(), kqcommit.Request{ID: "first", Author: "test", Reason: "test", At: time.Now(), Document: d})
	if err != nil || o.Status != kqcommit.Committed {
		t.Fatalf("commit: %v %v", o, err)
	}
}

// A process outside the fleet has a certificate of another authority, or none. It tries to
// join the fleet and to send a call with forged internal headers straight to a gate.
// Without the check it would become a member and receive callers' traffic. It must not
// join, its calls must not run, and each refusal must be counted.
func TestForeignCertificate(t *testing.T) {
	s := newTLSFleet(t)
	home := s.start(t, "home", "store")
	s.commit(t)

	foreign := newTLSFleet(t, string(home.Node.ControlAddress()))
	stranger := foreign.start(t, "stranger", "")
	await(t, "a refused certificate is counted", func() bool { return counterValue(t, home, "kumquatgw_peer_refused_total") > 0 })
	for _, server := range []*kqfleet.Server{home, stranger} {
		if got := len(server.Node.Members()); got != 1 {
			t.Errorf("%s sees %d members, want only itself", server.Spec.Node, got)
		}
	}

	for name, client := range map[string]*tls.Config{
		"none":    {InsecureSkipVerify: true},
		"foreign": {InsecureSkipVerify: true, Certificates: []tls.Certificate{foreign.certificate(t, "stranger")}},
	} {
		refused := counterValue(t, home, "kumquatgw_peer_refused_total")
		if answer, err := callGate(client, home.Node.GateAddress(), name); err == nil {
			t.Errorf("gate answered a caller with certificate %s: %q", name, answer)
		}
		await(t, "the refusal is counted", func() bool { return counterValue(t, home, "kumquatgw_peer_refused_total") > refused })
	}
	own := &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{s.certificate(t, "home")}}
	await(t, "the gate answers the fleet's own certificate", func() bool {
		answer, err := callGate(own, home.Node.GateAddress(), "own")
		return err == nil && strings.Contains(answer, "200")
	})
	runs := home.Upstream.Runs()
	if runs["none"] != 0 || runs["foreign"] != 0 || runs["own"] == 0 {
		t.Errorf("upstream ran %v, want only calls with the fleet's own certificate", runs)
	}
}

// The certificates of both nodes on a call's path are replaced under load. If open
// connections were dropped, or a half-written pair were loaded, calls would be cut off.
// Every call must be answered, and new connections must use the new certificate.
func TestCertificateReplacedUnderLoad(t *testing.T) {
	s := newTLSFleet(t)
	front, back := s.start(t, "front", ""), s.start(t, "back", "store")
	s.commit(t)
	s.underLoad(t, front, func(awaitMoreCalls func()) {
		for range 3 {
			s.replaceCertificates(t, front, back)
			awaitMoreCalls()
		}
	})
}

// The fleet's CA is replaced under load: nodes trust both CAs, then get certificates of
// the new one, then stop trusting the old one. A step out of order would make nodes refuse
// each other. No call may be lost.
func TestAuthorityReplacedUnderLoad(t *testing.T) {
	s := newTLSFleet(t)
	front, back := s.start(t, "front", ""), s.start(t, "back", "store")
	s.commit(t)
	old, next := s.authority, newAuthority(t)
	s.underLoad(t, front, func(awaitMoreCalls func()) {
		s.writeTrustedCAs(t, old, next)
		// A node that has not reloaded its files yet would refuse certificates of the new
		// CA. Renewing under the old CA shows that both nodes have reloaded.
		s.replaceCertificates(t, front, back)
		awaitMoreCalls()
		s.authority = next
		s.replaceCertificates(t, front, back)
		awaitMoreCalls()
		s.writeTrustedCAs(t, next)
		s.replaceCertificates(t, front, back)
		awaitMoreCalls()
	})
}

// underLoad runs change while callers make calls, and fails the test if any call is not
// answered. awaitMoreCalls adds callers and waits until 50 more calls are answered.
func (s *tlsFleet) underLoad(t *testing.T, front *kqfleet.Server, change func(awaitMoreCalls func())) {
	t.Helper()
	url := fmt.Sprintf("http://%s/", front.Node.EntryAddress())
	await(t, "calls are answered", func() bool { return getStatus(t.Context(), url) == http.StatusOK })
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	var answered, lost atomic.Int64
	// Each further caller needs another connection to the gate, so that calls use the
	// replaced certificates and not only the connections opened before.
	addCallers := func() {
		for range 8 {
			group.Go(func() {
				for ctx.Err() == nil {
					if getStatus(t.Context(), url) == http.StatusOK {
						answered.Add(1)
					} else {
						lost.Add(1)
					}
				}
			})
		}
	}
	addCallers()
	change(func() {
		addCallers()
		reached := answered.Load()
		await(t, "50 more calls are answered", func() bool { return answered.Load() > reached+50 })
	})
	stop()
	group.Wait()
	t.Logf("answered %d, lost %d", answered.Load(), lost.Load())
	if lost.Load() != 0 {
		t.Errorf("%d of %d calls were lost", lost.Load(), lost.Load()+answered.Load())
	}
}

// replaceCertificates issues new certificates and waits until they are in use.
func (s *tlsFleet) replaceCertificates(t *testing.T, servers ...*kqfleet.Server) {
	t.Helper()
	for _, server := range servers {
		old := s.serial(t, server)
		s.issue(t, server.Spec.Node)
		await(t, "the new certificate is in use", func() bool { return s.serial(t, server) != old })
	}
}

// writeTrustedCAs replaces the file of the CAs that nodes trust.
func (s *tlsFleet) writeTrustedCAs(t *testing.T, authorities ...*kqauthority.Authority) {
	t.Helper()
	var bundle []byte
	for _, a := range authorities {
		bundle = append(bundle, a.KeyPair().Certificate...)
	}
	file, _ := kqauthority.Paths(s.folder, "ca")
	if err := os.WriteFile(file+".new", bundle, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

func (s *tlsFleet) certificate(t *testing.T, node string) tls.Certificate {
	t.Helper()
	certificate, key := kqauthority.Paths(s.folder, node)
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// serial returns the serial number of the certificate that a node presents.
func (s *tlsFleet) serial(t *testing.T, server *kqfleet.Server) string {
	t.Helper()
	conn, err := tls.Dial("tcp", string(server.Node.GateAddress()), &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func newAuthority(t *testing.T) *kqauthority.Authority {
	t.Helper()
	a, err := kqauthority.New(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func writeCA(t *testing.T, folder string, a *kqauthority.Authority) string {
	t.Helper()
	if err := a.KeyPair().Write(folder, "ca"); err != nil {
		t.Fatal(err)
	}
	certificate, _ := kqauthority.Paths(folder, "ca")
	return certificate
}

// callGate sends a call with internal headers straight to a gate, and returns the beginning
// of the answer.
func callGate(c *tls.Config, gate kqname.Address, work string) (string, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: awaitTimeout}, "tcp", string(gate), c)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: store\r\n%s: %s\r\n"+
		"Kq-Call: x;outsider;store;store;;;i;;;5000000;0;\r\n\r\n", kqupstream.HeaderWorkID, work)
	answer := make([]byte, 512)
	n, err := conn.Read(answer)
	return string(answer[:n]), err
}

func getStatus(ctx context.Context, url string) int {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	q.Host = "store"
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

func counterValue(t *testing.T, s *kqfleet.Server, name string) float64 {
	t.Helper()
	families, err := s.Node.Metrics().Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.GetMetric() {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited %s until %s", awaitTimeout, what)
}
