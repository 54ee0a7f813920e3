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
	// SessionTime is how long a session lasts after its last use.
	SessionTime = 30 * time.Minute

	maxSessions = 1024
	secretBytes = 32
)

type (
	// Operators finds who has a token.
	Operators interface {
		Find(h kqoperator.Hash) (kqoperator.Operator, error)
	}

	// Session is one operator's stay in the console.
	Session struct {
		// ID is the cookie's value; CSRF stands in each form of the session.
		ID, CSRF string

		hash kqoperator.Hash
		used time.Time
	}

	// Auth checks tokens and keeps sessions. It is safe for concurrent use.
	Auth struct {
		operators Operators
		throttle  *kqthrottle.Throttle

		mu       sync.Mutex
		sessions map[string]*Session
	}
)

// New returns an Auth without sessions.
func New(operators Operators) *Auth {
	return &Auth{operators: operators, throttle: kqthrottle.New(), sessions: make(map[string]*Session)}
}

// Token returns the operator that a token is of. Failures count against the
// source, which must then stay away for a while.
func (a *Auth) Token(token, source string, now time.Time) (kqoperator.Operator, *kqproblem.Problem) {
	_, operator, problem := a.token(token, source, now)
	return operator, problem
}

// Begin starts a session by a token.
func (a *Auth) Begin(token, source string, now time.Time) (Session, *kqproblem.Problem) {
	hash, _, problem := a.token(token, source, now)
	if problem != nil {
		return Session{}, problem
	}
	id, err := secret()
	if err != nil {
		return Session{}, kqproblem.New(kqproblem.Internal, err.Error())
	}
	mark, err := secret()
	if err != nil {
		return Session{}, kqproblem.New(kqproblem.Internal, err.Error())
	}
	s := &Session{ID: id, CSRF: mark, hash: hash, used: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	a.sessions[id] = s
	return *s, nil
}

// Session returns a session and its operator. The token is looked up again, so
// that a token taken out of the file ends its sessions at once.
func (a *Auth) Session(id string, now time.Time) (Session, kqoperator.Operator, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.sessions[id]
	if !ok {
		return Session{}, kqoperator.Operator{}, false
	}
	operator, err := a.operators.Find(s.hash)
	if err != nil || now.Sub(s.used) > SessionTime {
		delete(a.sessions, id)
		return Session{}, kqoperator.Operator{}, false
	}
	s.used = now
	return *s, operator, true
}

// End ends a session.
func (a *Auth) End(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, id)
}

func (a *Auth) token(token, source string, now time.Time) (kqoperator.Hash, kqoperator.Operator, *kqproblem.Problem) {
	var none kqoperator.Hash
	if wait := a.throttle.Wait(source, now); wait > 0 {
		p := kqproblem.New(kqproblem.TooManyFailures, "come back later")
		p.RetryAfter = wait
		return none, kqoperator.Operator{}, p
	}
	if token == "" {
		a.throttle.Failed(source, now)
		return none, kqoperator.Operator{}, kqproblem.New(kqproblem.NoToken, `send "Authorization: Bearer TOKEN"`)
	}
	hash, err := kqoperator.HashOf(token)
	var operator kqoperator.Operator
	if err == nil {
		operator, err = a.operators.Find(hash)
	}
	if err != nil {
		a.throttle.Failed(source, now)
		return none, operator, kqproblem.New(kqproblem.BadToken, "no operator has this token")
	}
	return hash, operator, nil
}

// sweep drops sessions that have lapsed, and the longest unused one while there
// are too many.
func (a *Auth) sweep(now time.Time) {
	var oldest *Session
	for id, s := range a.sessions {
		if now.Sub(s.used) > SessionTime {
			delete(a.sessions, id)
			continue
		}
		if oldest == nil || s.used.Before(oldest.used) {
			oldest = s
		}
	}
	if len(a.sessions) >= maxSessions && oldest != nil {
		delete(a.sessions, oldest.ID)
	}
}

func secret() (string, error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("draw secret: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}
