package simfleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// jobPurpose is the reason for which a job is submitted. It is part of the job's id.
type jobPurpose string

const (
	purposeLoad    jobPurpose = "rate"  // job of the load that clients submit at Options.Rate
	purposeProbe   jobPurpose = "probe" // job that probes whether a scheduler serves jobs again
	purposeJobPath jobPurpose = "path"  // job that measures the job path; its events are not recorded
)

// maxRunTime is the longest run time that a job's body may ask for.
const maxRunTime = time.Minute

// jobID returns a job's id: the index of its scheduler, its purpose and the serial number n.
func jobID(scheduler int, purpose jobPurpose, n int64) string {
	return fmt.Sprintf("%d-%s-%x", scheduler, purpose, n)
}

// isRecorded reports whether the events of a job are recorded for the check of the history.
func isRecorded(id string) bool { return !strings.Contains(id, "-"+string(purposeJobPath)+"-") }

// parseJob reads the index of the scheduler from a job's id and the run time from its body. ok is false if
// the index is not below schedulers, or the run time is invalid or over maxRunTime.
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
