package kqfingerprint

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
)

// size is the length of a fingerprint in bytes. Callers choose what they send; with fewer
// bytes they could find a request with the fingerprint of another.
const size = 16

// ErrMalformed means that a text is no fingerprint.
var ErrMalformed = errors.New("malformed fingerprint")

// Fingerprint is a digest of a request's method, host, path, query and body. It shows
// nothing of them. The zero value stands for no request.
type Fingerprint [size]byte

// Of returns the fingerprint of a request whose body has been read whole. Hosts are
// compared in lower case, paths and queries as they were sent.
func Of(r *fasthttp.Request) Fingerprint {
	var space [512]byte
	head := append(space[:0], r.Header.Method()...)
	head = append(append(head, 0), bytes.ToLower(r.Header.Host())...)
	head = append(append(head, 0), r.Header.RequestURI()...)
	head = append(head, 0)
	if kqbody.Length(r) == 0 {
		return fromDigest(sha256.Sum256(head))
	}
	d := sha256.New()
	_, _ = d.Write(head)
	_ = kqbody.Write(r, d)
	return fromDigest([sha256.Size]byte(d.Sum(space[:0])))
}

// Parse returns the fingerprint of a text that String returned.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	if len(text) != hex.EncodedLen(size) {
		return f, fmt.Errorf("parse %.64q: %w", text, ErrMalformed)
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, fmt.Errorf("parse %.64q: %w", text, errors.Join(ErrMalformed, err))
	}
	return f, nil
}

// String returns the fingerprint as 32 hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Hash returns a part of the fingerprint as a number.
func (f Fingerprint) Hash() uint64 { return binary.BigEndian.Uint64(f[:]) }

// IsZero reports whether the fingerprint stands for no request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*f = parsed
	return nil
}

func fromDigest(d [sha256.Size]byte) Fingerprint { return Fingerprint(d[:size]) }
