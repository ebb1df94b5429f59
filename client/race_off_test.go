//go:build !race

package client

const maxCallers = 10_000
