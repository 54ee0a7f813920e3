package kqconnection

// chunks counts the bytes of a chunked body without what is sent around them, as that is
// what is held of it: a chunk of one byte takes six on the wire.
type chunks struct {
	state chunkState
	// size is what has come of the size of the chunk at hand, and left how much of the
	// chunk is to come, with the line end behind it.
	size, left int
	body       int
}

// chunkState tells what comes next of a chunked body.
type chunkState int

const (
	sizeComes chunkState = iota
	extensionComes
	dataComes
	// trailersCome stands for all that comes after the last chunk.
	trailersCome
	// unframed bodies are not made of chunks, or not well; all of their bytes count.
	unframed
)

const (
	// lineEnd is the length of the line end behind a chunk's data.
	lineEnd = 2
	// largestChunk keeps the sizes from running over.
	largestChunk = 1 << 30
)

// add counts what has come.
func (c *chunks) add(data []byte) {
	for len(data) > 0 {
		switch c.state {
		case dataComes:
			n := min(c.left, len(data))
			c.body += max(min(n, c.left-lineEnd), 0)
			data = data[n:]
			if c.left -= n; c.left == 0 {
				c.state = sizeComes
			}
		case trailersCome:
			return
		case unframed:
			c.body += len(data)
			return
		default:
			c.header(data[0])
			data = data[1:]
		}
	}
}

// header takes in a byte of the line before a chunk's data.
func (c *chunks) header(b byte) {
	switch digit, hex := hexDigit(b); {
	case b == '\n' && c.size == 0:
		c.state = trailersCome
	case b == '\n':
		c.state, c.left, c.size = dataComes, c.size+lineEnd, 0
	case c.state == extensionComes || b == '\r':
	case b == ';' || b == ' ' || b == '\t':
		c.state = extensionComes
	case hex && c.size < largestChunk>>4:
		c.size = c.size<<4 | digit
	default:
		c.state = unframed
		c.body++
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
