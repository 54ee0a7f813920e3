package kqidentity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/security/kqauthority"
	"github.com/kumquatgw/kumquatgw/internal/security/kqreload"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const dialTimeout = time.Second

var (
	// ErrForeign tells that a certificate is not of the fleet's CA, has
	// lapsed, or names no node.
	ErrForeign = errors.New("certificate is not of this fleet")
	// ErrFiles tells that the files do not make an identity.
	ErrFiles = errors.New("certificate files are not usable")
)

type (
	// Files are the PEM files of an identity.
	Files struct {
		CA, Certificate, Key string
	}

	// Identity proves who a node is and checks who others are. It is safe for
	// concurrent use.
	Identity struct {
		node     kqname.Node
		files    Files
		held     atomic.Pointer[held]
		reloader *kqreload.Reloader
		refused  func(error)
	}

	// Option sets up an Identity.
	Option func(*options)

	options struct {
		reload  []kqreload.Option
		refused func(error)
	}

	// gateConn closes without TLS's own goodbye. A gate notices that a caller
	// has gone by the end of its connection; the goodbye would stand before the
	// end as bytes that wait, and the upstream would work on for nobody.
	gateConn struct{ *tls.Conn }

	held struct {
		certificate *tls.Certificate
		pool        *x509.CertPool
	}
)

// WithReload passes options on to the reloader.
func WithReload(o ...kqreload.Option) Option {
	return func(all *options) { all.reload = append(all.reload, o...) }
}

// WithRefused is told of each peer that was turned away, and why.
func WithRefused(f func(error)) Option { return func(all *options) { all.refused = f } }

// New loads the identity of a node; its certificate must name that node.
func New(node kqname.Node, files Files, opts ...Option) (*Identity, error) {
	all := options{refused: func(error) {}}
	for _, o := range opts {
		o(&all)
	}
	i := &Identity{node: node, files: files, refused: all.refused}
	var err error
	i.reloader, err = kqreload.New([]string{files.CA, files.Certificate, files.Key}, i.load, all.reload...)
	if err != nil {
		return nil, fmt.Errorf("load identity of %s: %w", node, err)
	}
	return i, nil
}

// Run takes in changed files until ctx ends.
func (i *Identity) Run(ctx context.Context) { i.reloader.Run(ctx) }

// Expires returns when the certificate in use lapses.
func (i *Identity) Expires() time.Time { return i.held.Load().certificate.Leaf.NotAfter }

// Public returns the configuration for operators' connections, which prove
// themselves by token and not by certificate.
func (i *Identity) Public() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.held.Load().certificate, nil },
	}
}

// Mutual returns the configuration for connections from other nodes.
func (i *Identity) Mutual() *tls.Config {
	return &tls.Config{
		// The check below refuses a connection without a certificate too, and
		// unlike the library's own requirement it counts it.
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequestClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.held.Load().certificate, nil },
		VerifyConnection: i.verify(x509.ExtKeyUsageClientAuth),
	}
}

// Accept secures a connection from another node and names that node.
func (i *Identity) Accept(ctx context.Context, conn net.Conn) (net.Conn, kqname.Node, error) {
	secured := tls.Server(conn, i.Mutual())
	if err := secured.HandshakeContext(ctx); err != nil {
		// The other end may have refused first: a foreign node sees at once
		// that this one is not of its fleet.
		if !errors.Is(err, ErrForeign) {
			i.refused(err)
		}
		return nil, "", fmt.Errorf("accept peer: %w", err)
	}
	node, err := NodeOf(secured.ConnectionState())
	return secured, node, err
}

// Connect secures a connection to another node.
func (i *Identity) Connect(ctx context.Context, conn net.Conn) (net.Conn, error) {
	secured, err := i.connect(ctx, conn)
	if err != nil {
		return nil, err
	}
	return secured, nil
}

func (i *Identity) connect(ctx context.Context, conn net.Conn) (*tls.Conn, error) {
	secured := tls.Client(conn, i.client())
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	return secured, nil
}

// Dial connects to another node's gate. The handshake is over before it
// returns and its errors are net.OpErrors of "dial", so that whoever sends a
// call knows that nothing of it was sent.
func (i *Identity) Dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial gate: %w", err)
	}
	secured, err := i.connect(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: conn.RemoteAddr(), Err: err}
	}
	return gateConn{secured}, nil
}

// Close closes the connection beneath. An answer that is cut short shows by its
// length, so the goodbye is not needed to tell.
func (c gateConn) Close() error { return c.NetConn().Close() }

// NodeOf returns the node that the other end's certificate names.
func NodeOf(s tls.ConnectionState) (kqname.Node, error) {
	if len(s.PeerCertificates) == 0 {
		return "", fmt.Errorf("name peer: no certificate: %w", ErrForeign)
	}
	for _, u := range s.PeerCertificates[0].URIs {
		name := kqname.Node(strings.TrimPrefix(u.Path, "/"))
		if u.Scheme == kqauthority.NodeScheme && u.Host == kqauthority.NodeHost && kqname.Valid(name) {
			return name, nil
		}
	}
	return "", fmt.Errorf("name peer: %w", ErrForeign)
}

// client checks the other end's chain by itself: nodes find each other by
// address and know no name to check before the connection stands.
func (i *Identity) client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.held.Load().certificate, nil },
		VerifyConnection:     i.verify(x509.ExtKeyUsageServerAuth),
	}
}

func (i *Identity) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		_, err := NodeOf(s)
		if err == nil {
			intermediates := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: i.held.Load().pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
			})
		}
		if err != nil {
			err = errors.Join(ErrForeign, err)
			i.refused(err)
			return fmt.Errorf("verify peer: %w", err)
		}
		return nil
	}
}

func (i *Identity) load() error {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return fmt.Errorf("read certificate: %w", errors.Join(ErrFiles, err))
	}
	ca, err := os.ReadFile(i.files.CA)
	if err != nil {
		return fmt.Errorf("read CA: %w", errors.Join(ErrFiles, err))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return fmt.Errorf("read CA %s: %w", i.files.CA, ErrFiles)
	}
	name, err := NodeOf(tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate.Leaf}})
	if err != nil || name != i.node {
		return fmt.Errorf("certificate names node %q, settings name %q: %w", name, i.node, ErrFiles)
	}
	// One's own certificate must satisfy the CA: a node with a stray one would
	// start well and then be refused by all others.
	if _, err := certificate.Leaf.Verify(x509.VerifyOptions{Roots: pool}); err != nil {
		return fmt.Errorf("check own certificate: %w", errors.Join(ErrFiles, err))
	}
	i.held.Store(&held{certificate: &certificate, pool: pool})
	return nil
}
