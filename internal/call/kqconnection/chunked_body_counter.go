package kqconnection

// chunkedBodyCounter counts the data bytes of a chunked body without its framing, since
// only the data is held in memory: a chunk of one byte takes six on the wire.
type chunkedBodyCounter struct {
	state chunkState
	// size is the part of the current chunk's size that has been parsed, and remaining the
	// bytes of the chunk still to come, including the line end after it.
	size, remaining int
	bodyBytes       int
}

// chunkState is the part of a chunked body that comes next.
type chunkState int

const (
	inSize chunkState = iota
	inExtension
	inData
	// inTrailer is everything after the last chunk.
	inTrailer
	// malformed means that the chunk framing is invalid; all bytes from there on count.
	malformed
)

const (
	// lineEndSize is the length of the line end after a chunk's data.
	lineEndSize = 2
	// maxChunkSize prevents integer overflow of chunk sizes.
	maxChunkSize = 1 << 30
)

// add counts the data bytes in the next part of the body.
func (c *chunkedBodyCounter) add(data []byte) {
	for len(data) > 0 {
		switch c.state {
		case inData:
			n := min(c.remaining, len(data))
			c.bodyBytes += max(min(n, c.remaining-lineEndSize), 0)
			data = data[n:]
			if c.remaining -= n; c.remaining == 0 {
				c.state = inSize
			}
		case inTrailer:
			return
		case malformed:
			c.bodyBytes += len(data)
			return
		default:
			c.addHeaderByte(data[0])
			data = data[1:]
		}
	}
}

// addHeaderByte parses one byte of a chunk's header, the line before its data.
func (c *chunkedBodyCounter) addHeaderByte(b byte) {
	switch digit, hex := hexDigit(b); {
	case b == '\n' && c.size == 0:
		c.state = inTrailer
	case b == '\n':
		c.state, c.remaining, c.size = inData, c.size+lineEndSize, 0
	case c.state == inExtension || b == '\r':
	case b == ';' || b == ' ' || b == '\t':
		c.state = inExtension
	case hex && c.size < maxChunkSize>>4:
		c.size = c.size<<4 | digit
	default:
		c.state = malformed
		c.bodyBytes++
	}
}

func hexDigit(b byte) (int, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10, true
	default:
		return 0, false
	}
}
