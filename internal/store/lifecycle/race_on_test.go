//go:build race

package lifecycle

const raceOn = true
