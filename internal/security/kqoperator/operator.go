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
	// Admin is the role of operators who may change everything.
	Admin Role = "admin"
	// Member is the role of operators who may change what their team owns.
	Member Role = "member"

	noTeam      = "-"
	tokenPrefix = "kq_"
	// secretBytes is the number of random bytes in a token.
	secretBytes = 32
	// maxTokenBytes bounds the length of a text that is hashed as a token.
	maxTokenBytes = 128
	columns       = 4
)

var (
	// ErrToken is returned if a token is malformed or no operator has it.
	ErrToken = errors.New("token is not known")
	// ErrLine is returned if a line of the token file does not have the form
	// "NAME ROLE TEAM HASH" or has an invalid value.
	ErrLine = errors.New("malformed line, want NAME ROLE TEAM HASH")
	// ErrOperator is returned if an operator's name, role or team is invalid, or its
	// role and team contradict each other.
	ErrOperator = errors.New("invalid operator")
)

type (
	// Role says what an operator may change.
	Role string

	// Operator is a person or program that administers the fleet.
	Operator struct {
		Name string      `json:"name"`
		Role Role        `json:"role"`
		Team kqname.Team `json:"team,omitempty"`
	}

	// Operators holds the operators of a token file. It is safe for concurrent use.
	Operators struct {
		file   string
		byHash atomic.Pointer[map[Hash]Operator]
	}

	// Hash is the SHA-256 of a token.
	Hash [sha256.Size]byte
)

// New returns an empty set of operators; Load fills it from file.
func New(file string) *Operators {
	o := &Operators{file: file}
	o.byHash.Store(&map[Hash]Operator{})
	return o
}

// Load reads the file and replaces the operators. After an error they are unchanged.
func (o *Operators) Load() error {
	data, err := os.ReadFile(o.file)
	if err != nil {
		return fmt.Errorf("read tokens: %w", err)
	}
	byHash := make(map[Hash]Operator)
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		hash, operator, err := parseLine(line)
		if err != nil {
			return fmt.Errorf("read %s, line %d: %w", o.file, n, err)
		}
		byHash[hash] = operator
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read tokens: %w", err)
	}
	o.byHash.Store(&byHash)
	return nil
}

// HashOf returns the hash of a token, or ErrToken if the text lacks tokenPrefix or is
// longer than maxTokenBytes.
func HashOf(token string) (Hash, error) {
	if len(token) > maxTokenBytes || !strings.HasPrefix(token, tokenPrefix) {
		return Hash{}, ErrToken
	}
	return sha256.Sum256([]byte(token)), nil
}

// Find returns the operator whose token has the hash. Since the lookup is by hash, its
// duration does not reveal how similar a guessed token is to a real one.
func (o *Operators) Find(h Hash) (Operator, error) {
	operator, ok := (*o.byHash.Load())[h]
	if !ok {
		return Operator{}, ErrToken
	}
	return operator, nil
}

// NewToken creates a token for an operator. It returns the token, which is not stored
// anywhere, and the line for the token file.
func NewToken(operator Operator) (token, line string, err error) {
	if err := operator.validate(); err != nil {
		return "", "", err
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", "", fmt.Errorf("generate token: %w", err)
	}
	token = tokenPrefix + base64.RawURLEncoding.EncodeToString(secret)
	team := string(operator.Team)
	if team == "" {
		team = noTeam
	}
	hash := sha256.Sum256([]byte(token))
	return token, fmt.Sprintf("%s %s %s %s", operator.Name, operator.Role, team, hex.EncodeToString(hash[:])), nil
}

func (o Operator) validate() error {
	switch {
	case !kqname.Valid(o.Name):
		return fmt.Errorf("%q is not a plain name: %w", o.Name, ErrOperator)
	case o.Role == Admin && o.Team == "", o.Role == Member && kqname.Valid(o.Team):
		return nil
	default:
		return fmt.Errorf("role %q with team %q, want admin without a team, or member with a team that is a plain name: %w", o.Role, o.Team, ErrOperator)
	}
}

// parseLine parses a line of the token file.
func parseLine(line string) (hash Hash, o Operator, err error) {
	fields := strings.Fields(line)
	if len(fields) != columns {
		return hash, o, ErrLine
	}
	o = Operator{Name: fields[0], Role: Role(fields[1])}
	if fields[2] != noTeam {
		o.Team = kqname.Team(fields[2])
	}
	if err := o.validate(); err != nil {
		return hash, o, errors.Join(ErrLine, err)
	}
	raw, err := hex.DecodeString(fields[3])
	if err != nil || len(raw) != sha256.Size {
		return hash, o, fmt.Errorf("hash is not a SHA-256 in hex: %w", ErrLine)
	}
	copy(hash[:], raw)
	return hash, o, nil
}
