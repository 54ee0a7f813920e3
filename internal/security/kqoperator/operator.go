package kqoperator

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Admin operators change everything.
	Admin Role = "admin"
	// Member operators change what their team owns.
	Member Role = "member"

	noTeam     = "-"
	tokenStart = "kq_"
	tokenBytes = 32
	maxToken   = 128
	columns    = 4
)

var (
	// ErrToken tells that no operator has the token.
	ErrToken = errors.New("token is not known")
	// ErrLine tells that a line of the tokens' file cannot be read.
	ErrLine = errors.New("line is not NAME ROLE TEAM HASH")
	// ErrOperator tells that an operator's name, role and team do not go
	// together.
	ErrOperator = errors.New("bad operator")
)

type (
	// Role says what an operator may change.
	Role string

	// Operator is who sends a request.
	Operator struct {
		Name string      `json:"name"`
		Role Role        `json:"role"`
		Team kqname.Team `json:"team,omitempty"`
	}

	// Operators holds the operators of a file. It is safe for concurrent use.
	Operators struct {
		file string
		held atomic.Pointer[map[Hash]Operator]
	}

	// Hash is the SHA-256 of a token.
	Hash [sha256.Size]byte
)

// New returns a set without operators; Load fills it from file.
func New(file string) *Operators {
	o := &Operators{file: file}
	o.held.Store(&map[Hash]Operator{})
	return o
}

// Load reads the file. After an error the operators are those of before.
func (o *Operators) Load() error {
	data, err := os.ReadFile(o.file)
	if err != nil {
		return fmt.Errorf("read tokens: %w", err)
	}
	held := make(map[Hash]Operator)
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		hash, operator, err := parse(line)
		if err != nil {
			return fmt.Errorf("read %s, line %d: %w", o.file, n, err)
		}
		held[hash] = operator
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read tokens: %w", err)
	}
	o.held.Store(&held)
	return nil
}

// HashOf returns the hash that stands for a token, or ErrToken for what cannot
// be one.
func HashOf(token string) (Hash, error) {
	if len(token) > maxToken || !strings.HasPrefix(token, tokenStart) {
		return Hash{}, ErrToken
	}
	return sha256.Sum256([]byte(token)), nil
}

// Find returns the operator whose token has the hash. The look-up is by hash,
// so how long it takes tells nothing of how near a guessed token was.
func (o *Operators) Find(h Hash) (Operator, error) {
	operator, ok := (*o.held.Load())[h]
	if !ok {
		return Operator{}, ErrToken
	}
	return operator, nil
}

// NewToken makes a token for an operator. It returns the token, which is told
// once and kept nowhere, and the line for the tokens' file.
func NewToken(operator Operator) (token, line string, err error) {
	if err := operator.check(); err != nil {
		return "", "", err
	}
	secret := make([]byte, tokenBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", "", fmt.Errorf("draw token: %w", err)
	}
	token = tokenStart + base64.RawURLEncoding.EncodeToString(secret)
	team := string(operator.Team)
	if team == "" {
		team = noTeam
	}
	hash := sha256.Sum256([]byte(token))
	return token, fmt.Sprintf("%s %s %s %s", operator.Name, operator.Role, team, hex.EncodeToString(hash[:])), nil
}

func (o Operator) check() error {
	switch {
	case !kqname.Valid(o.Name):
		return fmt.Errorf("%q is not a plain name: %w", o.Name, ErrOperator)
	case o.Role == Admin && o.Team == "", o.Role == Member && kqname.Valid(o.Team):
		return nil
	default:
		return fmt.Errorf("role %q with team %q, want admin without or member with a team: %w", o.Role, o.Team, ErrOperator)
	}
}

func parse(line string) (hash Hash, o Operator, err error) {
	parts := strings.Fields(line)
	if len(parts) != columns {
		return hash, o, ErrLine
	}
	o = Operator{Name: parts[0], Role: Role(parts[1])}
	if parts[2] != noTeam {
		o.Team = kqname.Team(parts[2])
	}
	if err := o.check(); err != nil {
		return hash, o, errors.Join(ErrLine, err)
	}
	raw, err := hex.DecodeString(parts[3])
	if err != nil || len(raw) != sha256.Size {
		return hash, o, fmt.Errorf("hash: %w", ErrLine)
	}
	copy(hash[:], raw)
	return hash, o, nil
}
