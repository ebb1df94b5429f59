//go:build race

package modelcheck

const raceOn = true // states cost ten times as much
