// Package fingerprint encodes a state as bytes. A model checker hashes the bytes and treats two states with
// equal bytes as the same state.
package fingerprint

import (
	"encoding/binary"
	"math"
)

// Buffer holds the encoding of a state. Each method appends values to the encoding.
type Buffer []byte

// Ints appends integers as varints.
func (b *Buffer) Ints(vs ...int64) {
	for _, v := range vs {
		*b = binary.AppendVarint(*b, v)
	}
}

// Floats appends each floating-point number as its 64 bits, so that the encodings of two numbers are equal
// only if all bits of the numbers are equal.
func (b *Buffer) Floats(vs ...float64) {
	for _, v := range vs {
		*b = binary.LittleEndian.AppendUint64(*b, math.Float64bits(v))
	}
}

// Bools appends each Boolean as one byte.
func (b *Buffer) Bools(vs ...bool) {
	for _, v := range vs {
		bit := byte(0)
		if v {
			bit = 1
		}
		*b = append(*b, bit)
	}
}

// Text appends the length of a string in bytes and then the string.
func (b *Buffer) Text(v string) {
	b.Ints(int64(len(v)))
	*b = append(*b, v...)
}
