//go:build !race

package explore

const raceOn = false
