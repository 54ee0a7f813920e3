package kqconnection

// chunkScanner finds the trailer of a chunked body, whose fields fasthttp keeps with those of the
// head.
type chunkScanner struct {
	state chunkState
	// size is the part of the current chunk's size that has been parsed, and remaining the
	// bytes of the chunk still to come, including the line end after it.
	size, remaining int
}

// chunkState is the part of a chunked body that comes next.
type chunkState int

const (
	inSize chunkState = iota
	inExtension
	inData
	// inTrailer is everything after the last chunk, or from a size on that is malformed.
	inTrailer
)

const (
	// lineEndSize is the length of the line end after a chunk's data.
	lineEndSize = 2
	// maxChunkSize prevents integer overflow of chunk sizes.
	maxChunkSize = 1 << 30
)

// trailer scans the next part of the body and returns what of it belongs to the trailer.
func (s *chunkScanner) trailer(data []byte) []byte {
	for len(data) > 0 {
		switch s.state {
		case inTrailer:
			return data
		case inData:
			n := min(s.remaining, len(data))
			data = data[n:]
			if s.remaining -= n; s.remaining == 0 {
				s.state = inSize
			}
		default:
			s.scanSize(data[0])
			data = data[1:]
		}
	}
	return nil
}

// scanSize scans one byte of the line before a chunk's data.
func (s *chunkScanner) scanSize(b byte) {
	switch digit, hex := hexDigit(b); {
	case b == '\n' && s.size == 0:
		s.state = inTrailer
	case b == '\n':
		s.state, s.remaining, s.size = inData, s.size+lineEndSize, 0
	case s.state == inExtension || b == '\r':
	case b == ';' || b == ' ' || b == '\t':
		s.state = inExtension
	case hex && s.size < maxChunkSize>>4:
		s.size = s.size<<4 | digit
	default:
		s.state = inTrailer
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
