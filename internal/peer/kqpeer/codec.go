package kqpeer

import (
	"bytes"
	"fmt"
	"runtime"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"storj.io/drpc"
)

// MaxFrameBytes bounds one message between nodes, in bytes: a frame holds one
// object of up to 1 MB and its envelope. Without the bound, one broken peer
// could make a node allocate whatever length it states.
const MaxFrameBytes = 1<<20 + 64<<10

// compressOver is the size from which a message is worth compressing, in bytes.
const compressOver = 512

// windowBytes is how far back a repetition is found; it bounds the memory of
// each compressor. A process has one for each processor that it runs on: were
// there one for all, whoever sends would wait in one line, and in a storm of news
// the line would outlast the timeouts of the calls in it.
const windowBytes = 64 << 10

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
	// magic begins every zstd frame; no CBOR message of ours begins with it, as
	// they are all maps.
	magic        = []byte{0x28, 0xb5, 0x2f, 0xfd}
	compressor   = mustCompressor()
	decompressor = mustDecompressor()
)

type codec struct{}

// Marshal implements drpc.Encoding. Long messages are compressed: names stand
// in them many times over.
func (codec) Marshal(m drpc.Message) ([]byte, error) {
	data, err := encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	if len(data) > MaxFrameBytes {
		return nil, fmt.Errorf("encode %T of %d bytes: %w", m, len(data), ErrFrame)
	}
	if len(data) < compressOver {
		return data, nil
	}
	return compressor.EncodeAll(data, nil), nil
}

// Unmarshal implements drpc.Encoding. What a message decompresses to is bounded
// too, or a short one could take all memory.
func (codec) Unmarshal(data []byte, m drpc.Message) error {
	if bytes.HasPrefix(data, magic) {
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
	// Whole seconds, the library's own choice, would change what a digest names.
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
