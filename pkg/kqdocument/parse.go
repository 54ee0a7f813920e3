package kqdocument

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxBytes is the largest size of a document's JSON form, in bytes.
const MaxBytes = 1 << 20

var (
	// ErrTooLarge is returned if a document's JSON exceeds MaxBytes.
	ErrTooLarge = errors.New("document is too large")
	// ErrSyntax is returned if the data is not exactly one JSON document with known
	// and unique fields and values of their types.
	ErrSyntax = errors.New("document cannot be read")

	// errTrailing means that any data follows the document, even if it is no JSON value.
	errTrailing       = errors.New("more than one JSON value")
	errDuplicateField = errors.New("duplicate field")
)

// Parse decodes one JSON document. It returns ErrSyntax for malformed JSON, values of
// the wrong type, unknown fields, duplicate fields and trailing data, and ErrTooLarge
// for more than MaxBytes.
func Parse(data []byte) (Document, error) {
	if len(data) > MaxBytes {
		return Document{}, fmt.Errorf("read document: %w: %d bytes, at most %d are allowed", ErrTooLarge, len(data), MaxBytes)
	}
	var d Document
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("read document: %w: %s%w", ErrSyntax, linePosition(data, err), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Document{}, fmt.Errorf("read document: %w: %w", ErrSyntax, errTrailing)
	}
	if err := checkUniqueFields(json.NewDecoder(bytes.NewReader(data)), ""); err != nil {
		return Document{}, fmt.Errorf("read document: %w: %w", ErrSyntax, err)
	}
	return d, nil
}

// linePosition returns the line of a JSON error as a prefix for messages, or "" if the
// error has no position.
func linePosition(data []byte, err error) string {
	var syntax *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
	case errors.Is(err, io.ErrUnexpectedEOF):
		offset = int64(len(bytes.TrimSpace(data)))
	default:
		return ""
	}
	return fmt.Sprintf("line %d: ", 1+bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n")))
}

// checkUniqueFields returns an error if an object has a field twice, ignoring case. The
// JSON library would keep only the last one, so that part of an operator's services
// could be missing from a document that looks complete. The header names of a route
// count as fields too.
func checkUniqueFields(dec *json.Decoder, path string) error {
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
				return fmt.Errorf("%s: %w", at, errDuplicateField)
			}
			seen[folded] = true
		}
		if err := checkUniqueFields(dec, at); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
