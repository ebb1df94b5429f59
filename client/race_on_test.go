//go:build race

package client

// maxCallers is the number of concurrent calls of Do in TestTenThousandWaiting. It is lower under the race
// detector, which supports at most 8,128 goroutines at a time.
const maxCallers = 5_000
