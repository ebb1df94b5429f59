//go:build race

package modelcheck

const raceEnabled = true // states cost ten times as much
