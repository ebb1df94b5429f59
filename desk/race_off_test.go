//go:build !race

package desk

const mostCallers = 10_000
