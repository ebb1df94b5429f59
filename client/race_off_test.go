//go:build !race

package client

// maxCallers is the number of concurrent calls of Do in TestTenThousandWaiting.
const maxCallers = 10_000
