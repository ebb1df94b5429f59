//go:build !race

package client

const mostCallers = 10_000
