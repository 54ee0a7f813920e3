package kqhead

import (
	"bytes"
	"errors"
	"fmt"
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
	// maxQuoted is how many bytes of a malformed part are quoted.
	maxQuoted = 40
)

// ErrMalformed means that a response is not valid HTTP/1.1.
var ErrMalformed = errors.New("malformed response")

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
	if c.lines == 0 {
		return false, c.checkStatusLine(line)
	}
	name, value, err := ParseField(line)
	switch {
	case err != nil:
		return false, fmt.Errorf("line %d of the head: %w", c.lines+1, err)
	case len(name) == 0:
		return true, c.framing.check()
	default:
		return false, c.framing.add(name, value)
	}
}

// checkStatusLine checks a status line (RFC 9112, section 4). The blank behind the status may be
// missing if there is no reason.
func (c *Checker) checkStatusLine(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte(lineEnd))
	if !ok || !isStatusLine(text) {
		return malformedStatusLine(line)
	}
	c.framing.isOld = bytes.HasPrefix(text, []byte(oldVersion))
	return nil
}

func isStatusLine(text []byte) bool {
	if len(text) < statusEnd || !bytes.HasPrefix(text, []byte(versionPrefix)) || !isDigit(text[len(versionPrefix)]) || text[statusStart-1] != ' ' {
		return false
	}
	status := 0
	for _, b := range text[statusStart:statusEnd] {
		if !isDigit(b) {
			return false
		}
		status = status*10 + int(b-'0')
	}
	reason := text[statusEnd:]
	return status >= minStatus && status <= maxStatus && (len(reason) == 0 || reason[0] == ' ') && isText(reason)
}

func malformedStatusLine(line []byte) error {
	return fmt.Errorf("status line %q: %w", line[:min(len(line), maxQuoted)], ErrMalformed)
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
