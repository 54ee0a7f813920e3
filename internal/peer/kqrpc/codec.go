package kqrpc

import (
	"bytes"
	"fmt"
	"runtime"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"storj.io/drpc"
)

// MaxFrameBytes bounds one message between nodes, in bytes: a frame holds one
// object of up to 1 MB and its envelope. Without the bound, one faulty peer
// could make a node allocate any length that it claims.
const MaxFrameBytes = 1<<20 + 64<<10

// minCompressBytes is the message size from which compression is worthwhile.
const minCompressBytes = 512

// windowBytes is the size of the compression window; it bounds the memory of each
// encoder.
const windowBytes = 64 << 10

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
	// zstdMagic begins every zstd frame. No message in plain CBOR begins with it,
	// since all are maps.
	zstdMagic    = []byte{0x28, 0xb5, 0x2f, 0xfd}
	compressor   = mustCompressor()
	decompressor = mustDecompressor()
)

type codec struct{}

// Marshal implements drpc.Encoding. It compresses long messages, which repeat the
// same names many times.
func (codec) Marshal(m drpc.Message) ([]byte, error) {
	data, err := encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	if len(data) > MaxFrameBytes {
		return nil, fmt.Errorf("encode %T of %d bytes: %w", m, len(data), ErrFrame)
	}
	if len(data) < minCompressBytes {
		return data, nil
	}
	return compressor.EncodeAll(data, nil), nil
}

// Unmarshal implements drpc.Encoding. The decompressed size is bounded too, since
// a short message could otherwise expand to use all memory.
func (codec) Unmarshal(data []byte, m drpc.Message) error {
	if bytes.HasPrefix(data, zstdMagic) {
		plain, err := decompressor.DecodeAll(data, nil)
		if err != nil {
			return fmt.Errorf("decompress %T: %w", m, err)
		}
		data = plain
	}
	if err := decoder.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	return nil
}

// mustCompressor returns a compressor with one encoder per processor: with a single
// one, senders would queue for it, and when many records change at once they would
// wait longer than their timeouts.
func mustCompressor() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(runtime.GOMAXPROCS(0)),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes), zstd.WithEncoderCRC(false))
	if err != nil {
		panic(err)
	}
	return e
}

func mustDecompressor() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(runtime.GOMAXPROCS(0)), zstd.WithDecoderMaxMemory(MaxFrameBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(err)
	}
	return d
}

func mustEncoder() cbor.EncMode {
	// The library's default truncates times to whole seconds, so an object decoded
	// by a peer would no longer match its digest.
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
