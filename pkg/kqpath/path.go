package kqpath

import "strings"

const upperHex = "0123456789ABCDEF"

// Normalize returns the form in which equivalent paths are equal. It never fails: a percent
// sign that begins no escape stands for itself. A path that has this form already, as most
// do, is returned without a copy.
func Normalize(path string) string {
	i := 0
	for i < len(path) && path[i] != '%' && !isEscaped(path[i]) {
		i++
	}
	if i == len(path) {
		return path
	}
	var b strings.Builder
	b.Grow(len(path) + len(path)/2)
	b.WriteString(path[:i])
	for i < len(path) {
		c, n := path[i], 1
		if decoded, ok := decodeEscape(path[i:]); ok {
			c, n = decoded, 3
		}
		if n == 3 && !isUnreserved(c) || n == 1 && (c == '%' || isEscaped(c)) {
			b.Write([]byte{'%', upperHex[c>>4], upperHex[c&15]})
		} else {
			b.WriteByte(c)
		}
		i += n
	}
	return b.String()
}

// IsWellFormed reports whether each percent sign begins an escape and all other characters
// are visible ASCII.
func IsWellFormed(path string) bool {
	for i := 0; i < len(path); i++ {
		if isEscaped(path[i]) {
			return false
		}
		if path[i] != '%' {
			continue
		}
		if _, ok := decodeEscape(path[i:]); !ok {
			return false
		}
	}
	return true
}

// decodeEscape returns the byte that the escape at the beginning of text stands for.
func decodeEscape(text string) (byte, bool) {
	if len(text) < 3 || text[0] != '%' {
		return 0, false
	}
	high, low := hexValue(text[1]), hexValue(text[2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int {
	if c >= 'a' && c <= 'f' {
		c -= 'a' - 'A'
	}
	return strings.IndexByte(upperHex, c)
}

// isEscaped reports whether a character cannot stand in a path unless it is escaped.
func isEscaped(c byte) bool { return c <= ' ' || c > '~' }

// isUnreserved reports whether an escaped character means the same as the character itself
// (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
