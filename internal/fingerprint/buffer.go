// Package fingerprint encodes a state as bytes that are the same for two states if these act alike. Model
// checkers hash them to tell states apart.
package fingerprint

import (
	"encoding/binary"
	"math"
)

// Buffer is the encoding as far as it has been written.
type Buffer []byte

// Ints appends integers.
func (b *Buffer) Ints(vs ...int64) {
	for _, v := range vs {
		*b = binary.AppendVarint(*b, v)
	}
}

// Floats appends floating-point numbers, bit by bit.
func (b *Buffer) Floats(vs ...float64) {
	for _, v := range vs {
		*b = binary.LittleEndian.AppendUint64(*b, math.Float64bits(v))
	}
}

// Bools appends truth values.
func (b *Buffer) Bools(vs ...bool) {
	for _, v := range vs {
		bit := byte(0)
		if v {
			bit = 1
		}
		*b = append(*b, bit)
	}
}

// Text appends a text, with its length before it.
func (b *Buffer) Text(v string) {
	b.Ints(int64(len(v)))
	*b = append(*b, v...)
}
