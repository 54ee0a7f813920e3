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
	// NodeScheme is the scheme of the URI that identifies the node in its
	// certificate, such as "kumquatgw://node/storefront-1".
	NodeScheme = "kumquatgw"
	// NodeHost is the host part of that URI.
	NodeHost = "node"

	// backdate is how far in the past certificates become valid, so that servers
	// whose clocks are behind the operator's accept them at once.
	backdate   = 5 * time.Minute
	serialBits = 127

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

var (
	// ErrPEM is returned if a file is not a PEM block of the expected type, or a key
	// is not an ECDSA key or does not belong to its certificate.
	ErrPEM = errors.New("PEM block is missing, of the wrong type or mismatched")
	// ErrName is returned if kqname.Valid refuses a node's name: it accepts 1 to 64 of
	// a-z, 0-9, dot, dash and underscore, with a letter or digit at both ends.
	ErrName = errors.New("node's name is not a plain name")
)

type (
	// Authority is the fleet's certificate authority (CA), which signs the
	// certificates of nodes.
	Authority struct {
		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
		pair        KeyPair
	}

	// KeyPair is a certificate and its private key (ECDSA P-256), as PEM.
	KeyPair struct {
		Certificate []byte
		Key         []byte
	}

	// Subject describes the node that a certificate is issued for.
	Subject struct {
		Node kqname.Node
		// Addresses are the IP addresses and host names at which operators reach the
		// node's console.
		Addresses []string
	}
)

// New creates an authority whose certificate expires after the lifetime.
func New(now time.Time, lifetime time.Duration) (*Authority, error) {
	template, err := newTemplate(now, lifetime, "kumquatgw fleet")
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid, template.MaxPathLenZero = true, true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate the authority's key: %w", err)
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, fmt.Errorf("create authority: %w", err)
	}
	return Load(pair)
}

// Load returns the authority with an existing certificate and key.
func Load(pair KeyPair) (*Authority, error) {
	data, err := decodeBlock(pair.Certificate, certificateBlock)
	if err != nil {
		return nil, fmt.Errorf("read authority's certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		return nil, fmt.Errorf("read authority's certificate: %w", err)
	}
	if data, err = decodeBlock(pair.Key, keyBlock); err != nil {
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

// KeyPair returns the authority's own certificate and key.
func (a *Authority) KeyPair() KeyPair { return a.pair }

// Issue generates a key for a node and signs a certificate for both client and
// server authentication that expires after the lifetime.
func (a *Authority) Issue(s Subject, now time.Time, lifetime time.Duration) (KeyPair, error) {
	if !kqname.Valid(s.Node) {
		return KeyPair{}, fmt.Errorf("issue certificate for %q: %w", s.Node, ErrName)
	}
	template, err := newTemplate(now, lifetime, string(s.Node))
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{{Scheme: NodeScheme, Host: NodeHost, Path: "/" + string(s.Node)}}
	for _, address := range s.Addresses {
		if ip := net.ParseIP(address); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, address)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("issue certificate for %s: %w", s.Node, err)
	}
	pair, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("issue certificate for %s: %w", s.Node, err)
	}
	return pair, nil
}

// newTemplate returns an unsigned certificate with a random serial number.
func newTemplate(now time.Time, lifetime time.Duration, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(lifetime),
	}, nil
}

// sign signs a certificate for key with the signer's key and returns it with key.
func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, fmt.Errorf("sign certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode key: %w", err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER}),
	}, nil
}

// decodeBlock returns the content of the first PEM block if it has the given type.
func decodeBlock(data []byte, blockType string) ([]byte, error) {
	b, _ := pem.Decode(data)
	if b == nil || b.Type != blockType {
		return nil, fmt.Errorf("decode %s: %w", blockType, ErrPEM)
	}
	return b.Bytes, nil
}
