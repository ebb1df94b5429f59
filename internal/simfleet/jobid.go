package simfleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// purpose is what a job is submitted for.
type purpose string

const (
	purposeLoad    purpose = "rate"  // part of the load at a rate
	purposeProbe   purpose = "probe" // to find out whether a scheduler serves jobs again
	purposeJobPath purpose = "path"  // to time the job path; not part of the checked history
)

// maxRunTime bounds the run time that a job's body may ask for.
const maxRunTime = time.Minute

// jobID is the index of the job's scheduler, its purpose, and a number of its own.
func jobID(scheduler int, why purpose, n int64) string {
	return fmt.Sprintf("%d-%s-%x", scheduler, why, n)
}

// isRecorded reports whether a job's history is recorded.
func isRecorded(id string) bool { return !strings.Contains(id, "-"+string(purposeJobPath)+"-") }

// parseJob reads the index of the scheduler, below schedulers, from a job's id and the run time from its
// body.
func parseJob(id string, body []byte, schedulers int) (scheduler int, runTime time.Duration, ok bool) {
	first, _, found := strings.Cut(id, "-")
	scheduler, err := strconv.Atoi(first)
	if !found || err != nil || scheduler < 0 || scheduler >= schedulers {
		return 0, 0, false
	}
	if len(body) > 0 {
		runTime, err = time.ParseDuration(string(body))
		if err != nil || runTime < 0 || runTime > maxRunTime {
			return 0, 0, false
		}
	}
	return scheduler, runTime, true
}
