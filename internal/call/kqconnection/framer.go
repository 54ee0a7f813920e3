package kqconnection

import (
	"bytes"
	"strconv"
)

const (
	// maxPartialLine is how much of an incomplete header line is kept, in bytes: more than the
	// fields that are looked for take, with their values.
	maxPartialLine = 128
	// headByteMemory and headLineMemory are what each byte and each line of a head take once it is
	// parsed, in bytes: fasthttp keeps the head as it came and each field's name and value.
	// includedHeadMemory is a part that a connection's own memory includes.
	headByteMemory, headLineMemory, includedHeadMemory = 2, 160, 8 << 10
)

var (
	// contentLengthName is the header that states a body's length.
	contentLengthName = []byte("content-length")
	// transferEncodingName is the header of bodies whose length is not stated, such as
	// chunked ones.
	transferEncodingName = []byte("transfer-encoding")
	// headEnd is the empty line that ends a request's head (request line and header
	// fields).
	headEnd = []byte("\r\n\r\n")
)

// framer finds where requests end and which have a body of unknown length. This decides how
// many bytes one Read returns, whether memory is reserved for the body and whether later
// requests are served sequentially. If an end is wrong, as within a chunked body, fasthttp
// still reads the same bytes; but what is behind a wrong end must not be read ahead.
type framer struct {
	// isAmbiguous is set from the first head on that fasthttp may read differently, so that the
	// ends found since may be wrong. syntax is the state of the check of the current head.
	isAmbiguous bool
	syntax      headSyntax
	// bodyRemaining is the number of body bytes still to come, and matched the number of
	// bytes of headEnd that have arrived.
	bodyRemaining int
	matched       int
	// unknownLength is set if the current request has a body whose length is not stated.
	// The framer does not find the end of such a body; the connection resets the framing
	// once the request is answered.
	unknownLength bool
	chunkScanner  chunkScanner
	// head is the size of the current request's head so far, with its trailer. inHead is set while
	// the head is incomplete.
	head   headSize
	inHead bool
	// partialFraming is the framing stated by the complete lines of a head that has arrived
	// in part, and partialLine the beginning of its last line.
	partialFraming bodyFraming
	partialLine    []byte
}

// headSize is the size of a head.
type headSize struct{ bytes, lines int }

// add adds a part of the head.
func (h *headSize) add(data []byte) {
	h.bytes += len(data)
	h.lines += bytes.Count(data, []byte{'\n'})
}

// memory returns what the parsed head takes, in bytes, beyond what a connection has for it.
func (h headSize) memory() int {
	return max(h.bytes*headByteMemory+h.lines*headLineMemory-includedHeadMemory, 0)
}

// bodyFraming is what a request's head states about its body.
type bodyFraming struct {
	contentLength int
	unknownLength bool
	// hasLength is set if a length is stated, and isAmbiguous if several are or one that is
	// not a number.
	hasLength, isAmbiguous bool
}

// consume advances the framing by the beginning of data that belongs to the current
// request, and returns its length, at least one byte.
func (fr *framer) consume(data []byte) int {
	if fr.bodyRemaining > 0 {
		n := min(fr.bodyRemaining, len(data))
		fr.bodyRemaining -= n
		return n
	}
	if fr.unknownLength {
		fr.head.add(fr.chunkScanner.trailer(data))
		return len(data)
	}
	if !fr.inHead {
		fr.head, fr.inHead, fr.syntax = headSize{}, true, headSyntax{}
	}
	end := fr.findHeadEnd(data)
	if !fr.syntax.check(data[:max(end, 0)]) || end < 0 && !fr.syntax.check(data) {
		fr.isAmbiguous = true
	}
	if end < 0 {
		fr.head.add(data)
		fr.addPartialHead(data)
		return len(data)
	}
	fr.head.add(data[:end])
	fr.inHead = false
	f := fr.finishHead(data[:end])
	fr.isAmbiguous = fr.isAmbiguous || f.isAmbiguous
	if fr.unknownLength = f.unknownLength; fr.unknownLength {
		fr.head.add(fr.chunkScanner.trailer(data[end:]))
		return len(data)
	}
	n := min(f.contentLength, len(data)-end)
	fr.bodyRemaining = f.contentLength - n
	return end + n
}

// addPartialHead records a part of a head, since the last part alone does not state the
// body's framing. Little is kept of input that is not HTTP, such as TLS.
func (fr *framer) addPartialHead(piece []byte) {
	if len(fr.partialLine) > 0 {
		piece = append(fr.partialLine, piece...)
	}
	last := bytes.LastIndexByte(piece, '\n') + 1
	fr.partialFraming = fr.partialFraming.addLines(piece[:last])
	fr.partialLine = bytes.Clone(piece[last:min(len(piece), last+maxPartialLine)])
}

// finishHead returns the framing stated by a head whose last part has arrived.
func (fr *framer) finishHead(piece []byte) bodyFraming {
	if len(fr.partialLine) > 0 {
		piece = append(fr.partialLine, piece...)
	}
	f := fr.partialFraming.addLines(piece)
	fr.partialFraming, fr.partialLine = bodyFraming{}, nil
	return f
}

// addLines adds the framing stated by complete lines.
func (f bodyFraming) addLines(lines []byte) bodyFraming {
	for value, rest := headerField(lines, contentLengthName); value != nil; value, rest = headerField(rest, contentLengthName) {
		n, err := strconv.ParseUint(string(bytes.Trim(value, " \t\r\n")), 10, 31)
		if f.isAmbiguous = f.isAmbiguous || f.hasLength || err != nil; err == nil && !f.hasLength {
			f.contentLength = int(n)
		}
		f.hasLength = true
	}
	f.unknownLength = f.unknownLength || hasField(lines, transferEncodingName)
	return f
}

// findHeadEnd returns the index after the head, or -1 if the head is incomplete.
func (fr *framer) findHeadEnd(data []byte) int {
	from := 0
	if fr.matched == 0 {
		if i := bytes.Index(data, headEnd); i >= 0 {
			return i + len(headEnd)
		}
		// Only the last bytes may be the start of a headEnd that the next read completes.
		from = max(0, len(data)-len(headEnd)+1)
	}
	for i, b := range data[from:] {
		if b != headEnd[fr.matched] {
			fr.matched = 0
		}
		if b == headEnd[fr.matched] {
			fr.matched++
		}
		if fr.matched == len(headEnd) {
			fr.matched = 0
			return from + i + 1
		}
	}
	return -1
}

func hasField(head, name []byte) bool {
	value, _ := headerField(head, name)
	return value != nil
}

// headerField returns the value of the first field with the given name, which must be in
// lower case, with its line end, and the lines behind it. The value is nil if there is none.
func headerField(head, name []byte) (value, rest []byte) {
	colon := len(name)
	for len(head) > 0 {
		end := bytes.IndexByte(head, '\n') + 1
		if end == 0 {
			end = len(head)
		}
		line := head[:end]
		head = head[end:]
		if len(line) > colon && line[colon] == ':' && bytes.EqualFold(line[:colon], name) {
			return line[colon+1:], head
		}
	}
	return nil, nil
}
