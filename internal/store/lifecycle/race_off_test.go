//go:build !race

package lifecycle

const raceOn = false
