package kqevidence

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
)

var errMalformedCell = errors.New("malformed cell")

// cellJSON is the form of a cell in recorded rollouts (see internal/lab/kqrollouttrace):
// counts by latency bucket, without empty buckets.
type cellJSON struct {
	Calls   uint32         `json:"calls"`
	Failed  uint32         `json:"failed,omitempty"`
	Latency map[int]uint32 `json:"latency,omitempty"`
}

// MarshalJSON encodes the cell with the counts of its non-empty buckets by bucket number.
func (c Cell) MarshalJSON() ([]byte, error) {
	r := cellJSON{Calls: c.Calls, Failed: c.Failed, Latency: make(map[int]uint32)}
	for i, n := range c.Latency {
		if n > 0 {
			r.Latency[i] = n
		}
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode cell: %w", err)
	}
	return data, nil
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (c *Cell) UnmarshalJSON(data []byte) error {
	var r cellJSON
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("decode cell: %w", err)
	}
	*c = Cell{Calls: r.Calls, Failed: r.Failed}
	for i, n := range r.Latency {
		if i < 0 || i >= Buckets {
			return fmt.Errorf("decode cell: bucket %d: %w", i, errMalformedCell)
		}
		c.Latency[i] = n
	}
	return nil
}

// MarshalBinary encodes the cell as varints: calls, failures, then for each non-empty
// bucket its distance from the previous one and its count. A cell takes about 10 to 100
// bytes, and at most 298.
func (c Cell) MarshalBinary() ([]byte, error) {
	data := binary.AppendUvarint(nil, uint64(c.Calls))
	data = binary.AppendUvarint(data, uint64(c.Failed))
	previous := 0
	for i, n := range c.Latency {
		if n == 0 {
			continue
		}
		data = binary.AppendUvarint(data, uint64(i-previous))
		data = binary.AppendUvarint(data, uint64(n))
		previous = i
	}
	return data, nil
}

// UnmarshalBinary decodes the form that MarshalBinary writes.
func (c *Cell) UnmarshalBinary(data []byte) error {
	*c = Cell{}
	var numbers []uint32
	for len(data) > 0 {
		n, size := binary.Uvarint(data)
		if size <= 0 || n > 1<<32-1 || len(numbers) > 2+2*Buckets {
			return fmt.Errorf("decode cell: %w", errMalformedCell)
		}
		numbers = append(numbers, uint32(n))
		data = data[size:]
	}
	if len(numbers) < 2 || len(numbers)%2 != 0 {
		return fmt.Errorf("decode cell of %d numbers: %w", len(numbers), errMalformedCell)
	}
	c.Calls, c.Failed = numbers[0], numbers[1]
	bucket := uint64(0)
	for i := 2; i < len(numbers); i += 2 {
		bucket += uint64(numbers[i])
		if bucket >= Buckets {
			return fmt.Errorf("decode cell: bucket %d: %w", bucket, errMalformedCell)
		}
		c.Latency[bucket] = numbers[i+1]
	}
	return nil
}
