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

const patience = 10 * time.Second

// secured is a fleet whose nodes have certificates of one authority.
type secured struct {
	*kqfleet.Fleet
	authority *kqauthority.Authority
	folder    string
}

func newSecured(t *testing.T, seeds ...string) *secured {
	t.Helper()
	s := &secured{authority: newAuthority(t), folder: t.TempDir()}
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

func (s *secured) issue(t *testing.T, node kqname.Node) {
	t.Helper()
	pair, err := s.authority.Issue(kqauthority.Subject{Node: node, Addresses: []string{"127.0.0.1"}}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Write(s.folder, string(node)); err != nil {
		t.Fatal(err)
	}
}

func (s *secured) start(t *testing.T, node kqname.Node, service kqname.Service) *kqfleet.Server {
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

func (s *secured) commit(t *testing.T) {
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

// A process outside the fleet has a certificate that some other authority
// signed, or none. It tries to join, to give a node orders and to send a call
// with forged internal headers straight to a gate. Without the check it would
// appear among the members and take callers' traffic; it must get nothing, and
// nothing may change.
func TestForeignCertificate(t *testing.T) {
	s := newSecured(t)
	home := s.start(t, "home", "store")
	s.commit(t)

	foreign := newSecured(t, string(home.Node.ControlAddress()))
	stranger := foreign.start(t, "stranger", "")
	await(t, "a refused certificate is counted", func() bool { return counter(t, home, "kumquatgw_peer_refused_total") > 0 })
	for _, server := range []*kqfleet.Server{home, stranger} {
		if got := len(server.Node.Members()); got != 1 {
			t.Errorf("%s knows %d members, want only itself", server.Spec.Node, got)
		}
	}

	for name, client := range map[string]*tls.Config{
		"none":    {InsecureSkipVerify: true},
		"foreign": {InsecureSkipVerify: true, Certificates: []tls.Certificate{foreign.certificate(t, "stranger")}},
	} {
		refused := counter(t, home, "kumquatgw_peer_refused_total")
		if answer, err := forge(client, home.Node.GateAddress(), name); err == nil {
			t.Errorf("gate answered a caller with certificate %s: %q", name, answer)
		}
		await(t, "the refusal is counted", func() bool { return counter(t, home, "kumquatgw_peer_refused_total") > refused })
	}
	own := &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{s.certificate(t, "home")}}
	await(t, "the gate answers the fleet's own certificate", func() bool {
		answer, err := forge(own, home.Node.GateAddress(), "own")
		return err == nil && strings.Contains(answer, "200")
	})
	runs := home.Upstream.Runs()
	if runs["none"] != 0 || runs["foreign"] != 0 || runs["own"] == 0 {
		t.Errorf("runs are %v, want only those of the fleet's own certificate", runs)
	}
}

// A certificate nears its end and is replaced on both servers of a call's way
// while callers are at work. If open connections were dropped, or the pair were
// read half, callers would see cut calls; every call must have its answer, and
// new connections must show the new certificate.
func TestCertificateReplacedUnderLoad(t *testing.T) {
	s := newSecured(t)
	front, back := s.start(t, "front", ""), s.start(t, "back", "store")
	s.commit(t)
	s.underLoad(t, front, func(goOn func()) {
		for range 3 {
			s.replace(t, front, back)
			goOn()
		}
	})
}

// The fleet's CA itself is exchanged under load: nodes trust both, then take
// certificates of the new one, then forget the old one. A step out of order
// would part nodes from each other; no call may be lost.
func TestAuthorityReplacedUnderLoad(t *testing.T) {
	s := newSecured(t)
	front, back := s.start(t, "front", ""), s.start(t, "back", "store")
	s.commit(t)
	old, next := s.authority, newAuthority(t)
	s.underLoad(t, front, func(goOn func()) {
		s.trust(t, old, next)
		// A node that has not looked yet would refuse the new certificates;
		// renewing under the old CA shows that both have looked.
		s.replace(t, front, back)
		goOn()
		s.authority = next
		s.replace(t, front, back)
		goOn()
		s.trust(t, next)
		s.replace(t, front, back)
		goOn()
	})
}

// underLoad runs change while callers are at work, and fails the test for each
// call that has no answer. goOn waits until many more calls were answered.
func (s *secured) underLoad(t *testing.T, front *kqfleet.Server, change func(goOn func())) {
	t.Helper()
	url := fmt.Sprintf("http://%s/", front.Node.EntryAddress())
	await(t, "calls are answered", func() bool { return get(t.Context(), url) == http.StatusOK })
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	var answered, lost atomic.Int64
	// Each caller more needs a connection more to the gate, so that what was
	// replaced is in use and not only the connections from before.
	more := func() {
		for range 8 {
			group.Go(func() {
				for ctx.Err() == nil {
					if get(t.Context(), url) == http.StatusOK {
						answered.Add(1)
					} else {
						lost.Add(1)
					}
				}
			})
		}
	}
	more()
	change(func() {
		more()
		reached := answered.Load()
		await(t, "calls go on", func() bool { return answered.Load() > reached+50 })
	})
	stop()
	group.Wait()
	t.Logf("answered %d, lost %d", answered.Load(), lost.Load())
	if lost.Load() != 0 {
		t.Errorf("%d of %d calls were lost", lost.Load(), lost.Load()+answered.Load())
	}
}

// replace issues new certificates and waits until they are in use.
func (s *secured) replace(t *testing.T, servers ...*kqfleet.Server) {
	t.Helper()
	for _, server := range servers {
		old := s.serial(t, server)
		s.issue(t, server.Spec.Node)
		await(t, "the new certificate is in use", func() bool { return s.serial(t, server) != old })
	}
}

// trust writes the authorities that nodes believe.
func (s *secured) trust(t *testing.T, authorities ...*kqauthority.Authority) {
	t.Helper()
	var bundle []byte
	for _, a := range authorities {
		bundle = append(bundle, a.Pair().Certificate...)
	}
	file, _ := kqauthority.Paths(s.folder, "ca")
	if err := os.WriteFile(file+".new", bundle, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

func (s *secured) certificate(t *testing.T, node string) tls.Certificate {
	t.Helper()
	certificate, key := kqauthority.Paths(s.folder, node)
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// serial returns the serial number of the certificate that a node shows.
func (s *secured) serial(t *testing.T, server *kqfleet.Server) string {
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
	if err := a.Pair().Write(folder, "ca"); err != nil {
		t.Fatal(err)
	}
	certificate, _ := kqauthority.Paths(folder, "ca")
	return certificate
}

// forge sends a call with internal headers straight to a gate.
func forge(c *tls.Config, gate kqname.Address, work string) (string, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: patience}, "tcp", string(gate), c)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: store\r\n%s: %s\r\n"+
		"Kq-Call: x;outsider;store;store;;;i;;;5000000;0;\r\n\r\n", kqupstream.HeaderWork, work)
	answer := make([]byte, 512)
	n, err := conn.Read(answer)
	return string(answer[:n]), err
}

func get(ctx context.Context, url string) int {
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

func counter(t *testing.T, s *kqfleet.Server, name string) float64 {
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
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited %s until %s", patience, what)
}
