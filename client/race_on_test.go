//go:build race

package client

// The race detector knows no more than 8,128 goroutines.
const maxCallers = 5_000
