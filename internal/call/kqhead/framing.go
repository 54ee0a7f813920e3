package kqhead

import (
	"bytes"
	"fmt"
	"strconv"
)

const (
	nameLength   = "Content-Length"
	nameEncoding = "Transfer-Encoding"
	encodingText = "chunked"
	// lengthBits is the size of the largest length.
	lengthBits = 63
)

// framing is what a head says of the length of its body. One that says it twice, in different
// ways, would be read differently by different recipients.
type framing struct {
	hasLength, isChunked bool
	// length is in bytes.
	length uint64
	// isOld is set for HTTP/1.0, which has no encodings (RFC 9112, section 6.1).
	isOld bool
}

// add takes note of a field, whose value may have blanks around it.
func (f *framing) add(name, value []byte) error {
	switch {
	case len(name) == len(nameLength) && bytes.EqualFold(name, []byte(nameLength)):
		return f.addLengths(value)
	case len(name) == len(nameEncoding) && bytes.EqualFold(name, []byte(nameEncoding)):
		return f.addEncoding(bytes.Trim(value, blanks))
	default:
		return nil
	}
}

// addLengths takes note of a length, or of a list of equal ones, all but the first of which it
// overwrites with blanks (RFC 9112, section 6.3).
func (f *framing) addLengths(value []byte) error {
	for part := range bytes.SplitSeq(value, []byte{','}) {
		if err := f.addLength(bytes.Trim(part, blanks)); err != nil {
			return err
		}
	}
	if i := bytes.IndexByte(value, ','); i >= 0 {
		copy(value[i:], bytes.Repeat([]byte{' '}, len(value)-i))
	}
	return nil
}

func (f *framing) addLength(text []byte) error {
	// A sign is no digit, and ParseUint accepts none.
	length, err := strconv.ParseUint(string(text), 10, lengthBits)
	if err != nil {
		return malformedFraming("length", text)
	}
	if f.hasLength && f.length != length {
		return malformedFraming("another length", text)
	}
	f.hasLength, f.length = true, length
	return nil
}

func (f *framing) addEncoding(value []byte) error {
	if f.isChunked || !bytes.EqualFold(value, []byte(encodingText)) {
		return malformedFraming("transfer encoding", value)
	}
	f.isChunked = true
	return nil
}

// check checks the fields together.
func (f *framing) check() error {
	switch {
	case f.isChunked && f.hasLength:
		return fmt.Errorf("a length of %d beside chunks: %w", f.length, ErrMalformed)
	case f.isChunked && f.isOld:
		return fmt.Errorf("chunks of HTTP/1.0: %w", ErrMalformed)
	default:
		return nil
	}
}

func malformedFraming(what string, value []byte) error {
	return fmt.Errorf("%s %q: %w", what, value[:min(len(value), maxQuoted)], ErrMalformed)
}
