// Package fingerprint encodes the state of a state machine as bytes. Model checkers hash the bytes to
// recognize states that they have visited.
package fingerprint

import (
	"encoding/binary"
	"math"
)

// Buffer is the encoding of the part of a state that has been appended so far.
type Buffer []byte

// Ints appends integers as signed varints.
func (b *Buffer) Ints(vs ...int64) {
	for _, v := range vs {
		*b = binary.AppendVarint(*b, v)
	}
}

// Floats appends floating-point numbers by their IEEE 754 bits.
func (b *Buffer) Floats(vs ...float64) {
	for _, v := range vs {
		*b = binary.LittleEndian.AppendUint64(*b, math.Float64bits(v))
	}
}

// Bools appends Boolean values, one byte each.
func (b *Buffer) Bools(vs ...bool) {
	for _, v := range vs {
		bit := byte(0)
		if v {
			bit = 1
		}
		*b = append(*b, bit)
	}
}

// Text appends a string, preceded by its length in bytes.
func (b *Buffer) Text(v string) {
	b.Ints(int64(len(v)))
	*b = append(*b, v...)
}
