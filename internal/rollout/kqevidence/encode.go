package kqevidence

import (
	"encoding/binary"
	"errors"
	"fmt"
)

var errCell = errors.New("malformed cell")

// MarshalBinary writes the cell as varints and leaves out empty buckets: calls,
// failures, then each filled bucket's distance from the last and its count.
// A cell takes some 10 to 100 bytes, and never over 450.
func (c Cell) MarshalBinary() ([]byte, error) {
	data := binary.AppendUvarint(nil, uint64(c.Calls))
	data = binary.AppendUvarint(data, uint64(c.Failed))
	last := 0
	for i, n := range c.Latency {
		if n == 0 {
			continue
		}
		data = binary.AppendUvarint(data, uint64(i-last))
		data = binary.AppendUvarint(data, uint64(n))
		last = i
	}
	return data, nil
}

// UnmarshalBinary reads what MarshalBinary wrote.
func (c *Cell) UnmarshalBinary(data []byte) error {
	*c = Cell{}
	var numbers []uint32
	for len(data) > 0 {
		n, size := binary.Uvarint(data)
		if size <= 0 || n > 1<<32-1 || len(numbers) > 2+2*Buckets {
			return fmt.Errorf("read cell: %w", errCell)
		}
		numbers = append(numbers, uint32(n))
		data = data[size:]
	}
	if len(numbers) < 2 || len(numbers)%2 != 0 {
		return fmt.Errorf("read cell of %d numbers: %w", len(numbers), errCell)
	}
	c.Calls, c.Failed = numbers[0], numbers[1]
	at := uint64(0)
	for i := 2; i < len(numbers); i += 2 {
		at += uint64(numbers[i])
		if at >= Buckets {
			return fmt.Errorf("read bucket %d: %w", at, errCell)
		}
		c.Latency[at] = numbers[i+1]
	}
	return nil
}
