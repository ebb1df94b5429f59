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

	epoch  = 1_000_000 * second // virtual time at which a run starts
	warmUp = 3 * second         // time between the start of a run and the first job

	// timingSlack is the tolerance that the checks for violations add to each time limit. The checks of runs on
	// real sockets use the same tolerance.
	timingSlack = 50 * millisecond
)

func toDuration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

func seconds(m Micros) float64 { return float64(m) / float64(second) }
