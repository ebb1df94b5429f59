package emulator

import (
	"fmt"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// request is one submission of a job to a scheduler, with the history of the events that the client and the
// workers have seen of the request.
type request struct {
	fleet    *fleet
	node     *node
	id       string
	number   int
	job      *clientJob
	zone     int // zone of the client
	timeout  Micros
	deadline Micros
	answered bool
	// outstanding is the number of events that the check of the history waits for: the answer, unless it has
	// been written, the arrival of each attempt that is on its way to a worker, and the end of each attempt that
	// a worker has accepted.
	outstanding int
	history     []history.Event
}

// idFactor is 2^64 divided by the golden ratio. Multiplication by idFactor (Fibonacci hashing) distributes
// the consecutive numbers of requests evenly over all ids.
const idFactor = 0x9e3779b97f4a7c15

// newRequest returns an unanswered request for a job, to be sent to scheduler n.
func newRequest(n *node, number int, job *clientJob, timeout Micros) *request {
	return &request{
		fleet:       n.fleet,
		node:        n,
		number:      number,
		id:          fmt.Sprintf("%016x", uint64(number)*idFactor),
		job:         job,
		zone:        job.zone,
		timeout:     timeout,
		deadline:    n.fleet.now + timeout,
		outstanding: 1,
	}
}

var statusOfVerdict = [...]int{scheduler.Served: 200, scheduler.Refused: 503, scheduler.Failed: 500,
	scheduler.Invalid: 400, scheduler.Conflict: 409}

// recordReceipt records that the scheduler has received the last byte of the request. The timeout of the
// request begins with the receipt.
func (r *request) recordReceipt() {
	r.deadline = r.fleet.now + r.timeout
	r.fleet.requests[r.id] = r
	r.record(history.Event{Kind: history.Sent, ID: r.id, Actor: "client", Class: classes[r.job.class].name,
		Deadline: time.UnixMicro(int64(r.deadline))})
}

// recordAnswer records that the scheduler writes an answer to the client.
func (r *request) recordAnswer(a scheduler.Answer) {
	r.record(history.Event{Kind: history.Answered, ID: r.id, Actor: "client", Status: statusOfVerdict[a.Verdict],
		Result: string(a.Body)})
	if !r.answered {
		r.answered = true
		r.release()
	}
}

// record appends an event to the history of the request and sets the event's time to the present time.
func (r *request) record(e history.Event) {
	e.At = r.fleet.wallTime()
	r.history = append(r.history, e)
}

// release decrements outstanding. When outstanding reaches zero, release checks the history of the request
// for violations and removes the request from the fleet.
func (r *request) release() {
	if r.outstanding--; r.outstanding == 0 {
		r.checkHistory()
		delete(r.fleet.requests, r.id)
	}
}

func (r *request) checkHistory() {
	r.fleet.tally.model.CheckedRequests++
	for _, finding := range history.Check(r.fleet.historyRules, r.history) {
		r.fleet.tally.addFinding(finding)
	}
}
