// Package fingerprint writes the form of a state: bytes that are the same for two states if these
// act alike. Checkers hash it to tell states apart.
package fingerprint

import (
	"encoding/binary"
	"math"
)

// Form is what has been written so far.
type Form []byte

// Num appends whole numbers.
func (f *Form) Num(vs ...int64) {
	for _, v := range vs {
		*f = binary.AppendVarint(*f, v)
	}
}

// Real appends real numbers, bit by bit.
func (f *Form) Real(vs ...float64) {
	for _, v := range vs {
		*f = binary.LittleEndian.AppendUint64(*f, math.Float64bits(v))
	}
}

// Flag appends truths.
func (f *Form) Flag(vs ...bool) {
	for _, v := range vs {
		bit := byte(0)
		if v {
			bit = 1
		}
		*f = append(*f, bit)
	}
}

// Text appends a text, with its length before it.
func (f *Form) Text(v string) {
	f.Num(int64(len(v)))
	*f = append(*f, v...)
}
