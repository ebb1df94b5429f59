//go:build !race

package modelcheck

const raceOn = false
