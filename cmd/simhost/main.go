// Command simhost runs dispatchers for the simulator. It reads batches of events from standard input and
// writes the actions of the dispatchers to standard output, in the format of package wire.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"dahliaford/internal/wire"
)

// gcPercent is the garbage collection target of the Go runtime (GOGC). A value above the default of 100 saves
// processor time and costs memory, of which the program uses little.
const gcPercent = 800

func main() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
