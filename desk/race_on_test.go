//go:build race

package desk

// The race detector knows no more than 8,128 goroutines.
const mostCallers = 5_000
