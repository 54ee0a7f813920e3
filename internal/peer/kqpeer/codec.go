package kqpeer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// MaxFrameBytes bounds one message between nodes, in bytes: a frame holds one
// object of up to 1 MB and its envelope. Without the bound, one broken peer
// could make a node allocate whatever length it states.
const MaxFrameBytes = 1<<20 + 64<<10

var decoder = mustDecoder()

type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(m drpc.Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	if len(data) > MaxFrameBytes {
		return nil, fmt.Errorf("encode %T of %d bytes: %w", m, len(data), ErrFrame)
	}
	return data, nil
}

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(data []byte, m drpc.Message) error {
	if err := decoder.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	return nil
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
