package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

const (
	mostTries  = 3 // of a client, after refusals
	leastPause = 100 * millisecond
	leastLeft  = second // a client does not try again with less time than that
)

// clients hand in jobs, as a Poisson process over all zones alike.
type clients struct {
	f       *fleet
	random  *rand.Rand
	every   float64 // mean micros between two jobs
	fronts  [Zones][]*node
	number  int
	perTeam []float64
}

// item is what a client wants done, over all its tries.
type item struct {
	class, team int
	gang        int     // in gangs
	slots, work float64 // work in micros on a standard machine
	zone        int
	first       Micros
	tries       int
	ran         *request // the first that started
}

// request is one try.
type request struct {
	f        *fleet
	n        *node
	id       string
	number   int
	item     *item
	zone     int
	patience Micros
	until    Micros
	answered bool
	open     int // what is still to come of it: its answer, attempts on the way or held
	history  []history.Event
}

func newClients(f *fleet) *clients {
	c := &clients{f: f, random: f.random(3), every: float64(second) / rateOf(f.opt)}
	sum := 0.0
	for i := range teams {
		sum += teamPart(i)
		c.perTeam = append(c.perTeam, sum)
	}
	for _, n := range f.nodes {
		c.fronts[n.zone] = append(c.fronts[n.zone], n)
	}
	for z := range Zones { // a zone without schedulers goes to its region's, or to all
		if len(c.fronts[z]) > 0 {
			continue
		}
		for _, n := range f.nodes {
			if region(n.zone) == region(z) {
				c.fronts[z] = append(c.fronts[z], n)
			}
		}
		if len(c.fronts[z]) == 0 {
			c.fronts[z] = f.nodes
		}
	}
	return c
}

// next hands in a job, and asks for the next one.
func (c *clients) next() {
	f := c.f
	i := &item{zone: c.random.IntN(Zones), first: f.now}
	draw := c.random.Float64()
	for i.class = 0; i.class < len(classes)-1 && draw >= classes[i.class].part; i.class++ {
		draw -= classes[i.class].part
	}
	draw = c.random.Float64()
	for i.team = 0; i.team < teams-1 && draw >= c.perTeam[i.team]; i.team++ {
	}
	draw = c.random.Float64()
	for i.gang = 0; i.gang < len(gangs)-1 && draw >= gangs[i.gang].part; i.gang++ {
		draw -= gangs[i.gang].part
	}
	i.slots = gangs[i.gang].slots
	i.work = float64(f.task) * (0.25 + 0.75*c.random.ExpFloat64())
	f.tally.handedIn(i)
	c.submit(i, classes[i.class].patience(f.opt))
	f.after(Micros(c.random.ExpFloat64()*c.every), c.next)
}

// submit sends a try to a scheduler that the front picks.
func (c *clients) submit(i *item, patience Micros) {
	f := c.f
	c.number++
	i.tries++
	front := c.fronts[i.zone]
	n := front[c.random.IntN(len(front))]
	req := &request{f: f, n: n, number: c.number, id: fmt.Sprintf("%016x", uint64(c.number)*0x9e3779b97f4a7c15),
		item: i, zone: i.zone, patience: patience, until: f.now + patience, open: 1}
	f.tally.model.Requests++
	f.net.send(i.zone, n.zone, requestBytes, func() { n.submit(req) })
}

var statuses = [...]int{scheduler.Served: 200, scheduler.Refused: 503, scheduler.Failed: 500,
	scheduler.Invalid: 400, scheduler.Conflict: 409}

// taken notes that a scheduler has a request's last byte: its time counts from then.
func (r *request) taken() {
	r.until = r.f.now + r.patience
	r.f.requests[r.id] = r
	r.note(history.Event{Kind: history.Sent, ID: r.id, Actor: "client", Class: classes[r.item.class].name,
		Deadline: time.UnixMicro(int64(r.until))})
}

// answer notes an answer as its scheduler writes it.
func (r *request) answer(a scheduler.Answer) {
	r.note(history.Event{Kind: history.Answered, ID: r.id, Actor: "client", Status: statuses[a.Verdict],
		Result: string(a.Body)})
	if !r.answered {
		r.answered = true
		r.close()
	}
}

// answered takes the answer of a try.
func (c *clients) answered(req *request, a scheduler.Answer) {
	f := c.f
	switch a.Verdict {
	case scheduler.Served:
		f.tally.model.Served++
	case scheduler.Refused:
		f.tally.model.Refused++
		f.watch.refused(f)
		wait := max(a.RetryAfter, leastPause)
		if left := req.until - f.now - wait; left >= leastLeft && req.item.tries < mostTries {
			f.after(wait, func() { c.submit(req.item, left) })
		} else {
			f.tally.model.GaveUp++
		}
	case scheduler.Failed:
		f.tally.model.Failed++
	default:
		f.tally.model.Invalid++
	}
}

// started notes that a job begins to run.
func (c *clients) started(req *request) {
	f, i := c.f, req.item
	f.tally.model.Starts++
	f.watch.started(f)
	switch {
	case i.ran == nil:
		i.ran = req
		f.tally.starts(i, f.now-i.first)
	case i.ran != req && classes[i.class].once:
		f.tally.found(history.Finding{Property: "runs-as-allowed", ID: req.id,
			Text: "its client's earlier try, which was refused, had run"})
	}
}

// note keeps what was seen of a request.
func (r *request) note(e history.Event) {
	e.At = r.f.time()
	r.history = append(r.history, e)
}

// close is called when one thing less is still to come of a request. At the last one its history is
// checked and let go.
func (r *request) close() {
	if r.open--; r.open == 0 {
		r.check()
		delete(r.f.requests, r.id)
	}
}

func (r *request) check() {
	r.f.tally.model.CheckedRequests++
	for _, found := range history.Check(r.f.rules, r.history) {
		r.f.tally.found(found)
	}
}
