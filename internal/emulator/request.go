package emulator

import (
	"fmt"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// request is one submission of a job to a scheduler, with what clients and workers saw of it.
type request struct {
	fleet       *fleet
	node        *node
	id          string
	number      int
	job         *clientJob
	zone        int // of the client
	timeout     Micros
	deadline    Micros
	answered    bool
	outstanding int // what is still to come: the answer, attempts being sent, attempts at workers
	history     []history.Event
}

// idFactor spreads the numbers of requests over all ids: it is 2^64 over the golden ratio.
const idFactor = 0x9e3779b97f4a7c15

// newRequest returns a request whose answer is outstanding.
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

// received notes that a scheduler has the last byte of the request: its timeout counts from then.
func (r *request) received() {
	r.deadline = r.fleet.now + r.timeout
	r.fleet.requests[r.id] = r
	r.record(history.Event{Kind: history.Sent, ID: r.id, Actor: "client", Class: classes[r.job.class].name,
		Deadline: time.UnixMicro(int64(r.deadline))})
}

// recordAnswer notes an answer as its scheduler writes it.
func (r *request) recordAnswer(a scheduler.Answer) {
	r.record(history.Event{Kind: history.Answered, ID: r.id, Actor: "client", Status: statusOfVerdict[a.Verdict],
		Result: string(a.Body)})
	if !r.answered {
		r.answered = true
		r.release()
	}
}

// record adds an event to the history, with the present time.
func (r *request) record(e history.Event) {
	e.At = r.fleet.wallTime()
	r.history = append(r.history, e)
}

// release is called when one thing less is outstanding. After the last one the history is checked and
// the request dropped.
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
