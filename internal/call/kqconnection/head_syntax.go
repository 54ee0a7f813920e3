package kqconnection

type (
	// headSyntax checks that a head is read by fasthttp as by the framer: its lines end with CR
	// LF, and each but the request line and the empty one is a name, a colon and a value. fasthttp
	// also accepts lines that end with LF and values that go on in the next line. The zero value
	// is the state before the head.
	headSyntax struct {
		state headState
	}

	// headState is what comes next in a head.
	headState int
)

const (
	beforeRequestLine headState = iota
	inRequestLine
	beforeField
	inName
	inValue
	afterCarriageReturn
	malformed
)

// check checks the next part of the head, and reports whether all parts so far are well-formed.
func (h *headSyntax) check(data []byte) bool {
	for _, b := range data {
		h.state = h.state.next(b)
	}
	return h.state != malformed
}

func (s headState) next(b byte) headState {
	switch s {
	case afterCarriageReturn:
		if b == '\n' {
			return beforeField
		}
	case beforeRequestLine:
		if isNameByte(b) {
			return inRequestLine
		}
	case beforeField:
		if b == '\r' {
			return afterCarriageReturn
		}
		if isNameByte(b) {
			return inName
		}
	case inName:
		if b == ':' {
			return inValue
		}
		if isNameByte(b) {
			return inName
		}
	case inRequestLine, inValue:
		if b == '\r' {
			return afterCarriageReturn
		}
		if b != '\n' {
			return s
		}
	}
	return malformed
}

// isNameByte reports whether b may be part of a method or a field's name (RFC 9110, token).
func isNameByte(b byte) bool {
	switch {
	case b >= '0' && b <= '9', b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
