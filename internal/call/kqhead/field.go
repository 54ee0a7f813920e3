package kqhead

import (
	"bytes"
	"fmt"
)

const (
	// blanks may stand around a field's value.
	blanks = " \t"
	// tokenText holds the characters of a token (RFC 9110, section 5.6.2).
	tokenText = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

var tokenBytes = bytesOf(tokenText)

// ParseField splits a line, with its end, into a field's name and its value with the blanks
// around it (RFC 9112, section 5). Both are empty for the empty line that ends a head or a
// trailer. The error is ErrMalformed if the line is neither.
func ParseField(line []byte) (name, value []byte, err error) {
	text, ok := bytes.CutSuffix(line, []byte(lineEnd))
	switch {
	case !ok:
		return nil, nil, fmt.Errorf("it ends with a line feed alone: %w", ErrMalformed)
	case len(text) == 0:
		return nil, nil, nil
	case bytes.IndexByte([]byte(blanks), text[0]) >= 0:
		return nil, nil, fmt.Errorf("it continues the line before: %w", ErrMalformed)
	}
	name, value, ok = bytes.Cut(text, []byte{':'})
	switch {
	case !ok:
		return nil, nil, fmt.Errorf("it has no colon: %w", ErrMalformed)
	case !isToken(name):
		return nil, nil, fmt.Errorf("name %q: %w", name[:min(len(name), maxQuoted)], ErrMalformed)
	case !isText(value):
		return nil, nil, fmt.Errorf("control byte in the value of %q: %w", name[:min(len(name), maxQuoted)], ErrMalformed)
	default:
		return name, value, nil
	}
}

// isToken reports whether a field's name is a token.
func isToken(name []byte) bool {
	for _, b := range name {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether there are no control bytes but tabs, in a reason or in a field's value.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// bytesOf returns a table that holds true for each byte of the text.
func bytesOf(text string) (table [256]bool) {
	for i := range len(text) {
		table[text[i]] = true
	}
	return table
}
