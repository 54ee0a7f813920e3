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
	keysValid = 30 * 24 * time.Hour
	keysMode  = 0o600
)

type (
	// keys are a deployment's CA and tokens in a temporary folder.
	keys struct {
		folder    string
		authority *kqauthority.Authority
		// tokens are the operators' tokens, in the order of operators.
		tokens []token
		err    error
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
	if k.authority, err = kqauthority.New(time.Now(), keysValid); err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	if err := k.authority.Pair().Write(folder, "ca"); err != nil {
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
	if err := os.WriteFile(k.tokensFile(), []byte(lines.String()), keysMode); err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	return k, nil
}

// adapt gives a node its certificate and the operators' tokens.
func (k *keys) adapt(s *kqsettings.Settings) {
	if err := k.issue(s.Node.Name); err != nil {
		// The node refuses to start without the files, and says so.
		k.err = err
	}
	s.TLS.CA = k.ca()
	s.TLS.Certificate, s.TLS.Key = kqauthority.Paths(k.folder, string(s.Node.Name))
	s.Admin.Tokens = k.tokensFile()
}

func (k *keys) issue(node kqname.Node) error {
	pair, err := k.authority.Issue(kqauthority.Subject{Node: node, Addresses: []string{"127.0.0.1", "localhost"}}, time.Now(), keysValid)
	if err != nil {
		return fmt.Errorf("make keys of %s: %w", node, err)
	}
	if err := pair.Write(k.folder, string(node)); err != nil {
		return fmt.Errorf("make keys of %s: %w", node, err)
	}
	return nil
}

func (k *keys) ca() string {
	certificate, _ := kqauthority.Paths(k.folder, "ca")
	return certificate
}

func (k *keys) tokensFile() string { return filepath.Join(k.folder, "tokens") }

func (k *keys) remove() { _ = os.RemoveAll(k.folder) }
