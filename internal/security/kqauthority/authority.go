package kqauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// NodeScheme is the scheme of the URI in a certificate that names its
	// node, as in "kumquatgw://node/storefront-1".
	NodeScheme = "kumquatgw"
	// NodeHost is the host part of that URI.
	NodeHost = "node"

	// backdate lets a certificate be used at once by servers whose clocks are
	// a little behind the operator's.
	backdate   = 5 * time.Minute
	serialBits = 127

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

var (
	// ErrPEM tells that bytes are not one PEM block of the wanted kind.
	ErrPEM = errors.New("not a PEM block of the wanted kind")
	// ErrName tells that a node's name cannot stand in a certificate.
	ErrName = errors.New("node's name is not a plain name")
)

type (
	// Authority signs nodes' certificates.
	Authority struct {
		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
		pair        Pair
	}

	// Pair is a certificate and its private key (ECDSA P-256), as PEM.
	Pair struct {
		Certificate []byte
		Key         []byte
	}

	// Subject is whom a certificate is for.
	Subject struct {
		Node kqname.Node
		// Addresses are IP numbers and host names at which operators reach the
		// node's console.
		Addresses []string
	}
)

// New makes an authority that is valid for the given time from now.
func New(now time.Time, valid time.Duration) (*Authority, error) {
	template, err := blank(now, valid, "kumquatgw fleet")
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid, template.MaxPathLenZero = true, true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority's key: %w", err)
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	return Load(pair)
}

// Load reads an authority.
func Load(pair Pair) (*Authority, error) {
	data, err := block(pair.Certificate, certificateBlock)
	if err != nil {
		return nil, fmt.Errorf("read authority's certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		return nil, fmt.Errorf("read authority's certificate: %w", err)
	}
	if data, err = block(pair.Key, keyBlock); err != nil {
		return nil, fmt.Errorf("read authority's key: %w", err)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(data)
	if err != nil {
		return nil, fmt.Errorf("read authority's key: %w", err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, fmt.Errorf("read authority: key and certificate do not belong together: %w", ErrPEM)
	}
	return &Authority{certificate: certificate, key: key, pair: pair}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue makes a key and signs a certificate for a node, for both ends of a
// connection.
func (a *Authority) Issue(s Subject, now time.Time, valid time.Duration) (Pair, error) {
	if !kqname.Valid(s.Node) {
		return Pair{}, fmt.Errorf("issue for %q: %w", s.Node, ErrName)
	}
	template, err := blank(now, valid, string(s.Node))
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{{Scheme: NodeScheme, Host: NodeHost, Path: "/" + string(s.Node)}}
	for _, one := range s.Addresses {
		if ip := net.ParseIP(one); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, one)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("issue for %s: %w", s.Node, err)
	}
	pair, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("issue for %s: %w", s.Node, err)
	}
	return pair, nil
}

func blank(now time.Time, valid time.Duration, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(valid),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER}),
	}, nil
}

func block(data []byte, kind string) ([]byte, error) {
	b, _ := pem.Decode(data)
	if b == nil || b.Type != kind {
		return nil, fmt.Errorf("want %s: %w", kind, ErrPEM)
	}
	return b.Bytes, nil
}
