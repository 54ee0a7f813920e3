package kqauth

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/internal/security/kqthrottle"
)

const (
	// SessionTimeout is how long a session lasts after its last use.
	SessionTimeout = 30 * time.Minute

	maxSessions = 1024
	secretBytes = 32
)

type (
	// Operators looks up operators by token hash.
	Operators interface {
		Find(h kqoperator.Hash) (kqoperator.Operator, error)
	}

	// Session is an operator's login session in the console.
	Session struct {
		// ID is the cookie's value; CSRF is the token in the session's forms.
		ID, CSRF string

		tokenHash kqoperator.Hash
		lastUsed  time.Time
	}

	// Auth verifies tokens and stores sessions. It is safe for concurrent use.
	Auth struct {
		operators Operators
		throttle  *kqthrottle.Throttle

		mu       sync.Mutex
		sessions map[string]*Session
	}
)

// New returns an Auth that verifies tokens against operators.
func New(operators Operators) *Auth {
	return &Auth{operators: operators, throttle: kqthrottle.New(), sessions: make(map[string]*Session)}
}

// Authenticate returns the operator who owns the token. Failures count against
// the source, which is throttled after too many.
func (a *Auth) Authenticate(token, source string, now time.Time) (kqoperator.Operator, *kqproblem.Problem) {
	_, operator, problem := a.token(token, source, now)
	return operator, problem
}

// StartSession starts a session for the operator who owns the token.
func (a *Auth) StartSession(token, source string, now time.Time) (Session, *kqproblem.Problem) {
	tokenHash, _, problem := a.token(token, source, now)
	if problem != nil {
		return Session{}, problem
	}
	id, err := newSecret()
	if err != nil {
		return Session{}, kqproblem.New(kqproblem.Internal, err.Error())
	}
	csrf, err := newSecret()
	if err != nil {
		return Session{}, kqproblem.New(kqproblem.Internal, err.Error())
	}
	s := &Session{ID: id, CSRF: csrf, tokenHash: tokenHash, lastUsed: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evictSessions(now)
	a.sessions[id] = s
	return *s, nil
}

// Session returns an unexpired session and its operator, and renews the session's
// timeout. It looks the token up again, so that removing a token from the file ends
// its sessions once the file is reloaded.
func (a *Auth) Session(id string, now time.Time) (Session, kqoperator.Operator, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.sessions[id]
	if !ok {
		return Session{}, kqoperator.Operator{}, false
	}
	operator, err := a.operators.Find(s.tokenHash)
	if err != nil || now.Sub(s.lastUsed) > SessionTimeout {
		delete(a.sessions, id)
		return Session{}, kqoperator.Operator{}, false
	}
	s.lastUsed = now
	return *s, operator, true
}

// EndSession removes a session.
func (a *Auth) EndSession(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, id)
}

// token authenticates a token: it returns its hash and the operator who owns it.
func (a *Auth) token(token, source string, now time.Time) (kqoperator.Hash, kqoperator.Operator, *kqproblem.Problem) {
	var noHash kqoperator.Hash
	if wait := a.throttle.Wait(source, now); wait > 0 {
		p := kqproblem.New(kqproblem.TooManyFailures, "come back later")
		p.RetryAfter = wait
		return noHash, kqoperator.Operator{}, p
	}
	if token == "" {
		a.throttle.RecordFailure(source, now)
		return noHash, kqoperator.Operator{}, kqproblem.New(kqproblem.NoToken, `send "Authorization: Bearer TOKEN"`)
	}
	tokenHash, err := kqoperator.HashOf(token)
	var operator kqoperator.Operator
	if err == nil {
		operator, err = a.operators.Find(tokenHash)
	}
	if err != nil {
		a.throttle.RecordFailure(source, now)
		return noHash, operator, kqproblem.New(kqproblem.BadToken, "no operator has this token")
	}
	return tokenHash, operator, nil
}

// evictSessions removes expired sessions and, if maxSessions is still reached,
// the least recently used one.
func (a *Auth) evictSessions(now time.Time) {
	var oldest *Session
	for id, s := range a.sessions {
		if now.Sub(s.lastUsed) > SessionTimeout {
			delete(a.sessions, id)
			continue
		}
		if oldest == nil || s.lastUsed.Before(oldest.lastUsed) {
			oldest = s
		}
	}
	if len(a.sessions) >= maxSessions && oldest != nil {
		delete(a.sessions, oldest.ID)
	}
}

func newSecret() (string, error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("generate secret: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}
