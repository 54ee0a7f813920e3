package kqconnection

import (
	"bytes"
	"strconv"
)

// lineMost is how much is kept of a head's line that comes in pieces, in bytes: more than
// a name that is looked for takes, with its value.
const lineMost = 128

var (
	// lengthName is the header that states a body's length.
	lengthName = []byte("content-length")
	// encodingName is the header that says, in chunked's place, that it is unstated.
	encodingName = []byte("transfer-encoding")
	// headEnd is the empty line after a head.
	headEnd = []byte("\r\n\r\n")
)

// pace finds where requests end. It decides how many bytes are read at once and
// nothing else: where it is wrong, as within a chunked body, the server's library
// still reads the same bytes.
type pace struct {
	// body is how many bytes of a body are still to come; matched is how much of the
	// empty line that ends a head has come.
	body    int
	matched int
	// unstated tells that a body follows whose length its head does not state. Where it
	// ends is not known here: whoever serves the request tells. chunks counts it.
	unstated bool
	chunks   chunks
	// soFar is what the lines tell that have come of a head in pieces, and line the
	// beginning of the last one.
	soFar framing
	line  []byte
}

// framing is what a head tells of the body behind it.
type framing struct {
	length   int
	unstated bool
}

// cut returns how many of the bytes, at least one, belong to the request under way.
func (p *pace) cut(data []byte) int {
	if p.body > 0 {
		n := min(p.body, len(data))
		p.body -= n
		return n
	}
	if p.unstated {
		p.chunks.add(data)
		return len(data)
	}
	end := p.head(data)
	if end < 0 {
		p.keep(data)
		return len(data)
	}
	f := p.take(data[:end])
	if p.unstated = f.unstated; p.unstated {
		p.chunks.add(data[end:])
		return len(data)
	}
	n := min(f.length, len(data)-end)
	p.body = f.length - n
	return end + n
}

// keep takes in a piece of a head: its last piece alone does not tell what follows. Of
// what is not a head, such as an encrypted one, little is kept.
func (p *pace) keep(piece []byte) {
	if len(p.line) > 0 {
		piece = append(p.line, piece...)
	}
	last := bytes.LastIndexByte(piece, '\n') + 1
	p.soFar = p.soFar.with(piece[:last])
	p.line = bytes.Clone(piece[last:min(len(piece), last+lineMost)])
}

// take returns what a head tells whose last piece has come.
func (p *pace) take(piece []byte) framing {
	if len(p.line) > 0 {
		piece = append(p.line, piece...)
	}
	f := p.soFar.with(piece)
	p.soFar, p.line = framing{}, nil
	return f
}

// with adds what whole lines tell.
func (f framing) with(lines []byte) framing {
	if f.length == 0 {
		f.length = length(lines)
	}
	f.unstated = f.unstated || has(lines, encodingName)
	return f
}

// head returns where the head ends, -1 if it goes on.
func (p *pace) head(data []byte) int {
	from := 0
	if p.matched == 0 {
		if i := bytes.Index(data, headEnd); i >= 0 {
			return i + len(headEnd)
		}
		// Only its last bytes may begin what the next ones end.
		from = max(0, len(data)-len(headEnd)+1)
	}
	for i, b := range data[from:] {
		if b != headEnd[p.matched] {
			p.matched = 0
		}
		if b == headEnd[p.matched] {
			p.matched++
		}
		if p.matched == len(headEnd) {
			p.matched = 0
			return from + i + 1
		}
	}
	return -1
}

// length returns the body's length that a head states, 0 where it states none.
func length(head []byte) int {
	value, ok := field(head, lengthName)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}

func has(head, name []byte) bool {
	_, ok := field(head, name)
	return ok
}

// field returns the value of a head's first line of that name, which is in lower case.
func field(head, name []byte) ([]byte, bool) {
	colon := len(name)
	for len(head) > 0 {
		end := bytes.IndexByte(head, '\n') + 1
		if end == 0 {
			end = len(head)
		}
		line := head[:end]
		head = head[end:]
		if len(line) > colon && line[colon] == ':' && bytes.EqualFold(line[:colon], name) {
			return line[colon+1:], true
		}
	}
	return nil, false
}
