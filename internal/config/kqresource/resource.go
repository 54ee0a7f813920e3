package kqresource

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// MaxObjectBytes limits the size of one encoded object, root or record of kqcommit; the
// platform's service stores values of up to 1 MB.
const MaxObjectBytes = 1 << 20

var (
	// namespace holds the package's error types. The errors are package-level
	// sentinels, so they carry no stack trace.
	namespace = errorx.NewNamespace("kqresource").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrTooLarge means that an encoded value is larger than MaxObjectBytes.
	ErrTooLarge = namespace.NewType("too_large").New("object is larger than 1 MB")
	// ErrDigestMismatch means that there are no bytes with a digest: an object is missing,
	// its bytes do not match its digest, or the digest is malformed. Its text names only
	// the second cause.
	ErrDigestMismatch = namespace.NewType("digest").New("bytes do not match the digest")

	encoder = mustEncoder()
	decoder = mustDecoder()
)

type (
	// Digest is the SHA-256 of an object's canonical encoding.
	Digest [sha256.Size]byte

	// Objects maps digests to the canonical encodings of objects.
	Objects map[Digest][]byte

	// Parts lists the digests of the objects that together hold one host's routes, or all
	// workspaces.
	Parts []Digest

	// Root names every object of one configuration version. A commit replaces the
	// current root. Only commits set the fields Parent to At.
	Root struct {
		Version   kqname.ConfigVersion      `cbor:"1,keyasint"`
		Parent    Digest                    `cbor:"2,keyasint"`
		RequestID string                    `cbor:"3,keyasint"`
		Author    string                    `cbor:"4,keyasint"`
		Reason    string                    `cbor:"5,keyasint"`
		At        time.Time                 `cbor:"6,keyasint"`
		Hosts     map[kqname.Host]Parts     `cbor:"7,keyasint"`
		Services  map[kqname.Service]Digest `cbor:"8,keyasint"`
		Ownership Digest                    `cbor:"9,keyasint"`
		// Evacuated is sorted. It is part of the root, since every node needs it.
		Evacuated []kqname.Domain `cbor:"10,keyasint,omitempty"`
		// Workspaces names the objects that together hold all workspaces.
		Workspaces Parts `cbor:"11,keyasint,omitempty"`
	}

	// Workspaces holds one part of the workspaces, or all of them.
	Workspaces struct {
		Workspaces []kqdocument.Workspace `cbor:"1,keyasint"`
	}

	// Host holds one part of a host's routes, or all of them.
	Host struct {
		Name   kqname.Host        `cbor:"1,keyasint"`
		Routes []kqdocument.Route `cbor:"2,keyasint"`
	}

	// Service holds one service, its rollouts and the policies that they name.
	Service struct {
		Service  kqdocument.Service   `cbor:"1,keyasint"`
		Rollouts []kqdocument.Rollout `cbor:"2,keyasint"`
		Policies []kqdocument.Policy  `cbor:"3,keyasint"`
	}

	// Ownership holds what only operators need: all teams and policies.
	Ownership struct {
		Teams    []kqdocument.Team   `cbor:"1,keyasint"`
		Policies []kqdocument.Policy `cbor:"2,keyasint"`
	}
)

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Compare compares two digests by their bytes.
func (d Digest) Compare(other Digest) int { return bytes.Compare(d[:], other[:]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// DigestOf returns the digest of the given bytes.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest parses a digest in hex.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return Digest{}, fmt.Errorf("parse digest %q: %w", text, ErrDigestMismatch)
	}
	return Digest(raw), nil
}

// Encode returns the canonical encoding of an object, a root or a record of kqcommit.
func Encode(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	if len(data) > MaxObjectBytes {
		return nil, fmt.Errorf("encode %T of %d bytes: %w", value, len(data), ErrTooLarge)
	}
	return data, nil
}

// Decode decodes an object, a root or a record of kqcommit into value. It rejects unknown
// fields, duplicate keys, items of indefinite length and trailing bytes.
func Decode(data []byte, value any) error {
	if len(data) > MaxObjectBytes {
		return fmt.Errorf("decode %T of %d bytes: %w", value, len(data), ErrTooLarge)
	}
	if err := decoder.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %T: %w", value, err)
	}
	return nil
}

// Add encodes value, adds the bytes and returns their digest.
func (o Objects) Add(value any) (Digest, error) {
	data, err := Encode(value)
	if err != nil {
		return Digest{}, err
	}
	d := DigestOf(data)
	o[d] = data
	return d, nil
}

// Digests returns the objects' digests in ascending order.
func (o Objects) Digests() []Digest { return slices.SortedFunc(maps.Keys(o), Digest.Compare) }

func mustEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
