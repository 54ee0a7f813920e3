package kqconnection

import (
	"bytes"
	"strconv"
)

// lengthName is the header that states a body's length.
var lengthName = []byte("content-length")

// pace finds where requests end. It decides how many bytes are read at once and
// nothing else: where it is wrong, as within a chunked body, the server's library
// still reads the same bytes.
type pace struct {
	// body is how many bytes of a body are still to come; matched is how much of the
	// empty line that ends a head has come.
	body    int
	matched int
}

// cut returns how many of the bytes, at least one, belong to the request under way.
func (p *pace) cut(data []byte) int {
	if p.body > 0 {
		n := min(p.body, len(data))
		p.body -= n
		return n
	}
	end := p.head(data)
	if end < 0 {
		return len(data)
	}
	n := min(length(data[:end]), len(data)-end)
	p.body = length(data[:end]) - n
	return end + n
}

// head returns where the head ends, -1 if it goes on.
func (p *pace) head(data []byte) int {
	const end = "\r\n\r\n"
	for i, b := range data {
		if b != end[p.matched] {
			p.matched = 0
		}
		if b == end[p.matched] {
			p.matched++
		}
		if p.matched == len(end) {
			p.matched = 0
			return i + 1
		}
	}
	return -1
}

// length returns the body's length that a head states, 0 where it states none.
func length(head []byte) int {
	for line := range bytes.Lines(head) {
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || !bytes.EqualFold(name, lengthName) {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
		if err != nil {
			return 0
		}
		return int(n)
	}
	return 0
}
