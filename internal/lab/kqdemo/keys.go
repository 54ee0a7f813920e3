package kqdemo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/security/kqauthority"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	keyLifetime    = 30 * 24 * time.Hour
	tokensFileMode = 0o600
)

type (
	// keys holds the fleet's CA, certificates and operator tokens in a
	// temporary folder.
	keys struct {
		folder    string
		authority *kqauthority.Authority
		// tokens has one token for each operator, in the order of operators.
		tokens []token
		// err is the last error of issueCertificate, as applySettings returns none.
		err error
	}

	token struct{ name, secret string }
)

var operators = []kqoperator.Operator{
	{Name: "ana", Role: kqoperator.Admin},
	{Name: "mika", Role: kqoperator.Member, Team: "kauri-ridge"},
	{Name: "fatou", Role: kqoperator.Member, Team: "maison-diagne"},
}

func newKeys() (*keys, error) {
	folder, err := os.MkdirTemp("", "kumquatgw-demo-")
	if err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	k := &keys{folder: folder}
	if k.authority, err = kqauthority.New(time.Now(), keyLifetime); err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	if err := k.authority.KeyPair().Write(folder, "ca"); err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	var lines strings.Builder
	for _, o := range operators {
		secret, line, err := kqoperator.NewToken(o)
		if err != nil {
			return nil, fmt.Errorf("make keys: %w", err)
		}
		k.tokens = append(k.tokens, token{o.Name, secret})
		fmt.Fprintln(&lines, line)
	}
	if err := os.WriteFile(k.tokensPath(), []byte(lines.String()), tokensFileMode); err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	return k, nil
}

// applySettings issues a node's certificate and sets its TLS and token files.
func (k *keys) applySettings(s *kqsettings.Settings) {
	if err := k.issueCertificate(s.Node.Name); err != nil {
		// The node fails to start without the files; close returns this error too.
		k.err = err
	}
	s.TLS.CA = k.caPath()
	s.TLS.Certificate, s.TLS.Key = kqauthority.Paths(k.folder, string(s.Node.Name))
	s.Admin.Tokens = k.tokensPath()
}

func (k *keys) issueCertificate(node kqname.Node) error {
	pair, err := k.authority.Issue(kqauthority.Subject{Node: node, Addresses: []string{"127.0.0.1", "localhost"}}, time.Now(), keyLifetime)
	if err != nil {
		return fmt.Errorf("make keys for node %s: %w", node, err)
	}
	if err := pair.Write(k.folder, string(node)); err != nil {
		return fmt.Errorf("make keys for node %s: %w", node, err)
	}
	return nil
}

func (k *keys) caPath() string {
	certificate, _ := kqauthority.Paths(k.folder, "ca")
	return certificate
}

func (k *keys) tokensPath() string { return filepath.Join(k.folder, "tokens") }

func (k *keys) remove() { _ = os.RemoveAll(k.folder) }
