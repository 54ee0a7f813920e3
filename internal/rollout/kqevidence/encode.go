package kqevidence

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
)

var errCell = errors.New("malformed cell")

// recorded is a cell in traces: latency counts by bucket, empty ones left out.
type recorded struct {
	Calls   uint32         `json:"calls"`
	Failed  uint32         `json:"failed,omitempty"`
	Latency map[int]uint32 `json:"latency,omitempty"`
}

// MarshalJSON writes the cell with its filled buckets by number.
func (c Cell) MarshalJSON() ([]byte, error) {
	r := recorded{Calls: c.Calls, Failed: c.Failed, Latency: make(map[int]uint32)}
	for i, n := range c.Latency {
		if n > 0 {
			r.Latency[i] = n
		}
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("write cell: %w", err)
	}
	return data, nil
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (c *Cell) UnmarshalJSON(data []byte) error {
	var r recorded
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("read cell: %w", err)
	}
	*c = Cell{Calls: r.Calls, Failed: r.Failed}
	for i, n := range r.Latency {
		if i < 0 || i >= Buckets {
			return fmt.Errorf("read bucket %d: %w", i, errCell)
		}
		c.Latency[i] = n
	}
	return nil
}

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
