// Package fingerprint writes the form of a state: bytes that are the same for two states if these
// act alike. Checkers hash it to tell states apart.
package fingerprint

import (
	"encoding/binary"
	"math"
)

// Buffer is what has been written so far.
type Buffer []byte

// Ints appends whole numbers.
func (f *Buffer) Ints(vs ...int64) {
	for _, v := range vs {
		*f = binary.AppendVarint(*f, v)
	}
}

// Floats appends real numbers, bit by bit.
func (f *Buffer) Floats(vs ...float64) {
	for _, v := range vs {
		*f = binary.LittleEndian.AppendUint64(*f, math.Float64bits(v))
	}
}

// Bools appends truths.
func (f *Buffer) Bools(vs ...bool) {
	for _, v := range vs {
		bit := byte(0)
		if v {
			bit = 1
		}
		*f = append(*f, bit)
	}
}

// Text appends a text, with its length before it.
func (f *Buffer) Text(v string) {
	f.Ints(int64(len(v)))
	*f = append(*f, v...)
}
