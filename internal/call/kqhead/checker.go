package kqhead

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

const (
	// versionPrefix begins each response. Its minor version, one digit, may be any: a
	// recipient treats a higher one as 1.1 (RFC 9110, section 2.5).
	versionPrefix = "HTTP/1."
	oldVersion    = versionPrefix + "0"
	// statusStart is the index of the status in a status line, and statusEnd that of the byte
	// behind it.
	statusStart = len(versionPrefix) + 2
	statusEnd   = statusStart + 3
	// minStatus and maxStatus are the least and the largest status (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599

	lineEnd = "\r\n"
	// blanks may stand around a field's value.
	blanks = " \t"
	// tokenText holds the characters of a token (RFC 9110, section 5.6.2).
	tokenText = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	// maxQuoted is how many bytes of a malformed part are quoted.
	maxQuoted = 40
)

var (
	// ErrMalformed means that a head is not one of a valid HTTP/1.1 response.
	ErrMalformed = errors.New("malformed response")

	tokenBytes = bytesOf(tokenText)
)

// Checker checks one head. Its zero value is ready to use.
type Checker struct {
	framing framing
	// lines counts the complete lines, which end at the index checked.
	lines   int
	checked int
	// scanned is the index up to which no further line ends.
	scanned int
}

// Check checks the beginning of a response, of which more may follow, and returns the length of
// its head in bytes, 0 if that is incomplete. Bytes that an earlier call got are passed again.
// The error is ErrMalformed, as soon as no further bytes can make the head valid. Its text says
// what is wrong, and quotes little. Check overwrites a list of equal lengths in data with one
// length.
func (c *Checker) Check(data []byte) (length int, err error) {
	for {
		end := bytes.IndexByte(data[c.scanned:], '\n')
		if end < 0 {
			c.scanned = len(data)
			return 0, c.checkIncomplete(data[c.checked:])
		}
		next := c.scanned + end + 1
		line := data[c.checked:next]
		c.checked, c.scanned = next, next
		isLast, err := c.checkLine(line)
		if err != nil {
			return 0, err
		}
		if isLast {
			return next, nil
		}
		c.lines++
	}
}

// checkIncomplete checks the beginning of a line. Only that of the status line is told from
// other bytes, which a peer may send without any end of a line.
func (c *Checker) checkIncomplete(line []byte) error {
	n := min(len(line), len(versionPrefix))
	if c.lines == 0 && string(line[:n]) != versionPrefix[:n] {
		return malformedStatusLine(line)
	}
	return nil
}

// checkLine checks a line with its end, and reports whether it ends the head.
func (c *Checker) checkLine(line []byte) (isLast bool, err error) {
	text, ok := bytes.CutSuffix(line, []byte(lineEnd))
	switch {
	case c.lines == 0 && !ok:
		return false, malformedStatusLine(line)
	case c.lines == 0:
		c.framing.isOld = bytes.HasPrefix(text, []byte(oldVersion))
		return false, checkStatusLine(text)
	case !ok:
		return false, c.malformedField("it ends with a line feed alone")
	case len(text) == 0:
		return true, c.framing.check()
	default:
		return false, c.checkField(text)
	}
}

// checkField checks a field (RFC 9112, section 5).
func (c *Checker) checkField(text []byte) error {
	name, value, ok := bytes.Cut(text, []byte{':'})
	switch {
	case strings.IndexByte(blanks, text[0]) >= 0:
		return c.malformedField("it continues the line before")
	case !ok:
		return c.malformedField("it has no colon")
	case !isToken(name):
		return c.malformedField(fmt.Sprintf("name %q", name[:min(len(name), maxQuoted)]))
	case !isText(value):
		return c.malformedField(fmt.Sprintf("control byte in the value of %q", name[:min(len(name), maxQuoted)]))
	}
	return c.framing.add(name, value)
}

func (c *Checker) malformedField(what string) error {
	return fmt.Errorf("line %d of the head: %s: %w", c.lines+1, what, ErrMalformed)
}

// checkStatusLine checks a status line (RFC 9112, section 4). The blank behind the status may be
// missing if there is no reason.
func checkStatusLine(text []byte) error {
	if len(text) < statusEnd || !bytes.HasPrefix(text, []byte(versionPrefix)) ||
		!isDigit(text[len(versionPrefix)]) || text[statusStart-1] != ' ' {
		return malformedStatusLine(text)
	}
	status := 0
	for _, b := range text[statusStart:statusEnd] {
		if !isDigit(b) {
			return malformedStatusLine(text)
		}
		status = status*10 + int(b-'0')
	}
	reason := text[statusEnd:]
	if status < minStatus || status > maxStatus || len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return malformedStatusLine(text)
	}
	return nil
}

func malformedStatusLine(line []byte) error {
	return fmt.Errorf("status line %q: %w", line[:min(len(line), maxQuoted)], ErrMalformed)
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isToken reports whether a field's name is a token.
func isToken(name []byte) bool {
	for _, b := range name {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(name) > 0
}

// bytesOf returns a table that holds true for each byte of the text.
func bytesOf(text string) (table [256]bool) {
	for i := range len(text) {
		table[text[i]] = true
	}
	return table
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
