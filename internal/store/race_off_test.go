//go:build !race

package store

const raceOn = false
