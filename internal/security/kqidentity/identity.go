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
	// ErrPeerCertificate is returned if a peer's certificate is missing, is not signed
	// by the fleet's CA, has expired, is not for the peer's role as client or server, or
	// names no node.
	ErrPeerCertificate = errors.New("certificate is missing or not valid in this fleet")
	// ErrFiles is returned if the files have unusable content or do not belong
	// together, or the certificate has expired or does not name this node. A file that
	// kqreload cannot read is reported without ErrFiles.
	ErrFiles = errors.New("certificate files are not usable")
)

type (
	// Files are the paths of an identity's PEM files.
	Files struct {
		CA, Certificate, Key string
	}

	// Identity authenticates a node to others and verifies the certificates of
	// others. It is safe for concurrent use.
	Identity struct {
		node        kqname.Node
		files       Files
		credentials atomic.Pointer[credentials]
		reloader    *kqreload.Reloader
		onRefused   func(error)
	}

	// Option configures an Identity.
	Option func(*options)

	options struct {
		reload    []kqreload.Option
		onRefused func(error)
	}

	// connToGate closes without sending TLS's close_notify alert. While a call runs, a
	// gate looks for the end of the TCP stream to detect that the calling node
	// has disconnected. The alert would be unread data before that end and hide it, and
	// the upstream would continue a call whose answer nobody reads.
	connToGate struct{ *tls.Conn }

	// credentials holds the content of the files after the last successful load.
	credentials struct {
		certificate *tls.Certificate
		pool        *x509.CertPool
	}
)

// WithReload passes options to the reloader of the files.
func WithReload(o ...kqreload.Option) Option {
	return func(cfg *options) { cfg.reload = append(cfg.reload, o...) }
}

// WithRefusalHandler sets a function that is called with the reason for each peer whose
// certificate this node refuses, and with the error of each other handshake that fails
// in ServerHandshake.
func WithRefusalHandler(f func(error)) Option { return func(cfg *options) { cfg.onRefused = f } }

// New loads the identity of a node. The certificate must name that node.
func New(node kqname.Node, files Files, opts ...Option) (*Identity, error) {
	cfg := options{onRefused: func(error) {}}
	for _, o := range opts {
		o(&cfg)
	}
	i := &Identity{node: node, files: files, onRefused: cfg.onRefused}
	var err error
	i.reloader, err = kqreload.New([]string{files.CA, files.Certificate, files.Key}, i.load, cfg.reload...)
	if err != nil {
		return nil, fmt.Errorf("load identity of %s: %w", node, err)
	}
	return i, nil
}

// Run reloads changed files until ctx ends.
func (i *Identity) Run(ctx context.Context) { i.reloader.Run(ctx) }

// Expires returns when the certificate in use expires.
func (i *Identity) Expires() time.Time { return i.credentials.Load().certificate.Leaf.NotAfter }

// PublicTLSConfig returns the TLS configuration for connections from operators, who
// authenticate by token and not by certificate.
func (i *Identity) PublicTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.credentials.Load().certificate, nil },
	}
}

// MutualTLSConfig returns the TLS configuration for connections from other nodes.
func (i *Identity) MutualTLSConfig() *tls.Config {
	return &tls.Config{
		// VerifyConnection also refuses connections without a certificate. Unlike
		// tls.RequireAnyClientCert, it reports them to onRefused.
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequestClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.credentials.Load().certificate, nil },
		VerifyConnection: i.verify(x509.ExtKeyUsageClientAuth),
	}
}

// ServerHandshake performs the TLS handshake of a connection from another node and returns
// the authenticated node.
func (i *Identity) ServerHandshake(ctx context.Context, conn net.Conn) (net.Conn, kqname.Node, error) {
	secured := tls.Server(conn, i.MutualTLSConfig())
	if err := secured.HandshakeContext(ctx); err != nil {
		// Other errors are reported here, such as a refusal by the other end: a node
		// of another fleet may refuse this node's certificate first. ErrPeerCertificate was
		// reported by verify.
		if !errors.Is(err, ErrPeerCertificate) {
			i.onRefused(err)
		}
		return nil, "", fmt.Errorf("accept peer: %w", err)
	}
	node, err := NodeOf(secured.ConnectionState())
	return secured, node, err
}

// ClientHandshake performs the TLS handshake of a connection to another node.
func (i *Identity) ClientHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	secured, err := i.connect(ctx, conn)
	if err != nil {
		return nil, err
	}
	return secured, nil
}

func (i *Identity) connect(ctx context.Context, conn net.Conn) (*tls.Conn, error) {
	secured := tls.Client(conn, i.clientConfig())
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	return secured, nil
}

// Dial connects to another node's gate and completes the TLS handshake. A failed
// handshake gives a net.OpError with Op "dial", so that the sender of a call knows
// that nothing of it was sent. The gate's refusal of this node's certificate is not such
// a failure: in TLS 1.3 it arrives only with the first read.
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
	return connToGate{secured}, nil
}

// Close closes the TCP connection without a close_notify alert. The gate does not
// need it to detect a truncated request, since a request states its length or ends with
// a last chunk.
func (c connToGate) Close() error { return c.NetConn().Close() }

// NodeOf returns the node that the peer's certificate names.
func NodeOf(s tls.ConnectionState) (kqname.Node, error) {
	if len(s.PeerCertificates) == 0 {
		return "", fmt.Errorf("identify peer: no certificate: %w", ErrPeerCertificate)
	}
	for _, u := range s.PeerCertificates[0].URIs {
		name := kqname.Node(strings.TrimPrefix(u.Path, "/"))
		if u.Scheme == kqauthority.NodeScheme && u.Host == kqauthority.NodeHost && kqname.Valid(name) {
			return name, nil
		}
	}
	return "", fmt.Errorf("identify peer: %w", ErrPeerCertificate)
}

// clientConfig returns the TLS configuration for connections to other nodes. It skips
// the library's verification and verifies the certificate chain in verify: nodes
// find each other by address and know no name to check in advance.
func (i *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.credentials.Load().certificate, nil
		},
		VerifyConnection: i.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify returns a check that the peer's certificate names a node and is signed by
// the fleet's CA for the given usage. The check reports each refused peer.
func (i *Identity) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		_, err := NodeOf(s)
		if err == nil {
			intermediates := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: i.credentials.Load().pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
			})
		}
		if err != nil {
			err = errors.Join(ErrPeerCertificate, err)
			i.onRefused(err)
			return fmt.Errorf("verify peer: %w", err)
		}
		return nil
	}
}

// load reads the files and checks that they belong together, that the certificate
// names this node and that it has not expired.
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
	// A node whose own certificate is not signed by the CA would start normally and
	// then be refused by all others.
	if _, err := certificate.Leaf.Verify(x509.VerifyOptions{Roots: pool}); err != nil {
		return fmt.Errorf("verify own certificate: %w", errors.Join(ErrFiles, err))
	}
	i.credentials.Store(&credentials{certificate: &certificate, pool: pool})
	return nil
}
