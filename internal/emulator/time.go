package emulator

import (
	"time"

	"dahliaford/internal/scheduler"
)

// Micros is a time or a duration in microseconds of virtual time.
type Micros = scheduler.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond

	epoch       = 1_000_000 * second // the virtual time at which a run starts
	warmUp      = 3 * second         // from the start of the schedulers to the first job
	timingSlack = 50 * millisecond   // by which the checks extend each time limit, as on sockets
)

func toDuration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

func seconds(m Micros) float64 { return float64(m) / float64(second) }
