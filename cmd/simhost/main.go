// Command simhost speaks the simulator's wire on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"dahliaford/internal/wire"
)

// gcPercent trades memory, of which little is used, for time.
const gcPercent = 800

func main() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
