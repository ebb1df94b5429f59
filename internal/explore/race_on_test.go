//go:build race

package explore

const raceOn = true // states cost ten times as much
