package kqdocument

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxBytes bounds a document's JSON form, in bytes.
const MaxBytes = 1 << 20

var (
	// ErrTooLarge tells that a document's JSON is over MaxBytes.
	ErrTooLarge = errors.New("document is too large")
	// ErrSyntax tells that bytes are not one JSON document of known fields.
	ErrSyntax = errors.New("document cannot be read")

	errTrailing = errors.New("more than one JSON value")
	errTwice    = errors.New("field stands twice")
)

// Parse reads one JSON document. It refuses unknown fields, fields that stand
// twice and trailing data with ErrSyntax, and more than MaxBytes with
// ErrTooLarge.
func Parse(data []byte) (Document, error) {
	if len(data) > MaxBytes {
		return Document{}, fmt.Errorf("read document: %w: %d bytes, at most %d are allowed", ErrTooLarge, len(data), MaxBytes)
	}
	var d Document
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("read document: %w: %s%w", ErrSyntax, position(data, err), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Document{}, fmt.Errorf("read document: %w: %w", ErrSyntax, errTrailing)
	}
	if err := unique(json.NewDecoder(bytes.NewReader(data)), ""); err != nil {
		return Document{}, fmt.Errorf("read document: %w: %w", ErrSyntax, err)
	}
	return d, nil
}

// position tells the line of a fault where the library knows its place.
func position(data []byte, err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	case errors.Is(err, io.ErrUnexpectedEOF):
		offset = int64(len(bytes.TrimSpace(data)))
	default:
		return ""
	}
	return fmt.Sprintf("line %d: ", 1+bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n")))
}

// unique refuses an object with one field twice, in whatever case. The library
// would keep the last alone, and half of an operator's services could vanish
// from a document that looks complete.
func unique(dec *json.Decoder, path string) error {
	token, err := dec.Token()
	if err != nil {
		return err
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	seen := make(map[string]bool)
	for i := 0; dec.More(); i++ {
		at := fmt.Sprintf("%s[%d]", path, i)
		if delim == '{' {
			name, err := dec.Token()
			if err != nil {
				return err
			}
			at = strings.TrimPrefix(fmt.Sprintf("%s.%s", path, name), ".")
			folded := strings.ToLower(fmt.Sprint(name))
			if seen[folded] {
				return fmt.Errorf("%s: %w", at, errTwice)
			}
			seen[folded] = true
		}
		if err := unique(dec, at); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
