//go:build race

package modelcheck

const raceEnabled = true // the race detector makes the check of a state about ten times slower
