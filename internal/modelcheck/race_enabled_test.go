//go:build race

package modelcheck

const raceEnabled = true // a state takes about ten times as long with the race detector
