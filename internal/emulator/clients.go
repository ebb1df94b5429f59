package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

const (
	maxSubmissions = 3 // of a client, after refusals
	minRetryDelay  = 100 * millisecond
	minRetryTime   = second // a client does not try again with less time than that
)

// clients hand in jobs, as a Poisson process over all zones alike.
type clients struct {
	fleet            *fleet
	random           *rand.Rand
	meanInterval     float64 // mean micros between two jobs
	schedulersByZone [Zones][]*node
	lastRequest      int
	cumulativeByTeam []float64
}

// clientJob is what a client wants done, over all its tries.
type clientJob struct {
	class, team  int
	slotMixIndex int     // in gangs
	slots, work  float64 // work in micros on a standard machine
	zone         int
	submittedAt  Micros
	submissions  int
	firstStarted *request // the first that started
}

// request is one try.
type request struct {
	fleet       *fleet
	node        *node
	id          string
	number      int
	job         *clientJob
	zone        int
	timeout     Micros
	deadline    Micros
	answered    bool
	outstanding int // what is still to come of it: its answer, attempts on the way or held
	history     []history.Event
}

func newClients(f *fleet) *clients {
	c := &clients{fleet: f, random: f.newRandom(3), meanInterval: float64(second) / jobRate(f.options)}
	sum := 0.0
	for i := range teamCount {
		sum += teamFraction(i)
		c.cumulativeByTeam = append(c.cumulativeByTeam, sum)
	}
	for _, n := range f.nodes {
		c.schedulersByZone[n.zone] = append(c.schedulersByZone[n.zone], n)
	}
	for z := range Zones { // a zone without schedulers goes to its region's, or to all
		if len(c.schedulersByZone[z]) > 0 {
			continue
		}
		for _, n := range f.nodes {
			if region(n.zone) == region(z) {
				c.schedulersByZone[z] = append(c.schedulersByZone[z], n)
			}
		}
		if len(c.schedulersByZone[z]) == 0 {
			c.schedulersByZone[z] = f.nodes
		}
	}
	return c
}

// submitNext hands in a job, and asks for the next one.
func (c *clients) submitNext() {
	f := c.fleet
	i := &clientJob{zone: c.random.IntN(Zones), submittedAt: f.now}
	draw := c.random.Float64()
	for i.class = 0; i.class < len(classes)-1 && draw >= classes[i.class].fraction; i.class++ {
		draw -= classes[i.class].fraction
	}
	draw = c.random.Float64()
	for i.team = 0; i.team < teamCount-1 && draw >= c.cumulativeByTeam[i.team]; i.team++ {
	}
	draw = c.random.Float64()
	for i.slotMixIndex = 0; i.slotMixIndex < len(slotMix)-1 && draw >= slotMix[i.slotMixIndex].part; i.slotMixIndex++ {
		draw -= slotMix[i.slotMixIndex].part
	}
	i.slots = slotMix[i.slotMixIndex].slots
	i.work = float64(f.task) * (0.25 + 0.75*c.random.ExpFloat64())
	f.tally.jobSubmitted(i)
	c.submit(i, classes[i.class].timeout(f.options))
	f.after(Micros(c.random.ExpFloat64()*c.meanInterval), c.submitNext)
}

// submit sends a try to a scheduler that the front picks.
func (c *clients) submit(i *clientJob, patience Micros) {
	f := c.fleet
	c.lastRequest++
	i.submissions++
	front := c.schedulersByZone[i.zone]
	n := front[c.random.IntN(len(front))]
	req := &request{fleet: f, node: n, number: c.lastRequest, id: fmt.Sprintf("%016x", uint64(c.lastRequest)*0x9e3779b97f4a7c15),
		job: i, zone: i.zone, timeout: patience, deadline: f.now + patience, outstanding: 1}
	f.tally.model.Requests++
	f.network.send(i.zone, n.zone, requestBytes, func() { n.submit(req) })
}

var statusOfVerdict = [...]int{scheduler.Served: 200, scheduler.Refused: 503, scheduler.Failed: 500,
	scheduler.Invalid: 400, scheduler.Conflict: 409}

// received notes that a scheduler has a request's last byte: its time counts from then.
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

// handleAnswer takes the answer of a try.
func (c *clients) handleAnswer(req *request, a scheduler.Answer) {
	f := c.fleet
	switch a.Verdict {
	case scheduler.Served:
		f.tally.model.Served++
	case scheduler.Refused:
		f.tally.model.Refused++
		f.meter.countRefusal(f)
		wait := max(a.RetryAfter, minRetryDelay)
		if left := req.deadline - f.now - wait; left >= minRetryTime && req.job.submissions < maxSubmissions {
			f.after(wait, func() { c.submit(req.job, left) })
		} else {
			f.tally.model.GaveUp++
		}
	case scheduler.Failed:
		f.tally.model.Failed++
	default:
		f.tally.model.Invalid++
	}
}

// jobStarted notes that a job begins to run.
func (c *clients) jobStarted(req *request) {
	f, i := c.fleet, req.job
	f.tally.model.Starts++
	f.meter.countStart(f)
	switch {
	case i.firstStarted == nil:
		i.firstStarted = req
		f.tally.jobStarted(i, f.now-i.submittedAt)
	case i.firstStarted != req && classes[i.class].atMostOnce:
		f.tally.addFinding(history.Finding{Property: "runs-as-allowed", ID: req.id,
			Text: "its client's earlier try, which was refused, had run"})
	}
}

// record keeps what was seen of a request.
func (r *request) record(e history.Event) {
	e.At = r.fleet.wallTime()
	r.history = append(r.history, e)
}

// release is called when one thing less is still to come of a request. At the last one its history is
// checked and let go.
func (r *request) release() {
	if r.outstanding--; r.outstanding == 0 {
		r.checkHistory()
		delete(r.fleet.requests, r.id)
	}
}

func (r *request) checkHistory() {
	r.fleet.tally.model.CheckedRequests++
	for _, found := range history.Check(r.fleet.historyRules, r.history) {
		r.fleet.tally.addFinding(found)
	}
}
