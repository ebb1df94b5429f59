// Command simhost hosts dispatchers for the simulator: it reads batches of events from standard input and
// writes the actions to standard output, in the format of package wire.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"dahliaford/internal/wire"
)

// gcPercent trades memory, of which little is used, for processor time.
const gcPercent = 800

func main() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
