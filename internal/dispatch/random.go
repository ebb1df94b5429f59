package dispatch

// random is the state of a pseudo-random number generator (splitmix64).
type random uint64

// uniform returns the next random number in [0, 1).
func (r *random) uniform() float64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
