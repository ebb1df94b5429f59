package emulator

import (
	"math/rand/v2"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// How clients react to a refusal.
const (
	maxSubmissions = 3                 // of one job
	minRetryDelay  = 100 * millisecond // before a job is submitted again
	minRetryTime   = second            // a client does not retry with less time left than that
)

// clients submit jobs as a Poisson process, spread evenly over all zones.
type clients struct {
	fleet            *fleet
	random           *rand.Rand
	meanInterval     float64 // between two jobs, in microseconds
	schedulersByZone [Zones][]*node
	lastRequest      int       // number of the last request
	cumulativeByTeam []float64 // fractions of all jobs, of each team and all before it
}

// clientJob is what a client wants done, over all its submissions.
type clientJob struct {
	class, team  int
	slotMixIndex int
	slots, work  float64 // work in microseconds on a standard machine
	zone         int
	submittedAt  Micros // for the first time
	submissions  int
	firstStarted *request // the first of its requests that a worker started
}

func newClients(f *fleet) *clients {
	c := &clients{
		fleet:        f,
		random:       f.newRandom(clientStream),
		meanInterval: float64(second) / jobRate(f.options),
	}
	sum := 0.0
	for i := range teamCount {
		sum += teamFraction(i)
		c.cumulativeByTeam = append(c.cumulativeByTeam, sum)
	}
	for _, n := range f.nodes {
		c.schedulersByZone[n.zone] = append(c.schedulersByZone[n.zone], n)
	}
	for z := range Zones { // a zone without schedulers uses those of its region, or else all
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

// submitNext submits a job and schedules the next one.
func (c *clients) submitNext() {
	f := c.fleet
	job := c.drawJob()
	f.tally.jobSubmitted(job)
	c.submit(job, classes[job.class].timeout(f.options))
	f.after(Micros(c.random.ExpFloat64()*c.meanInterval), c.submitNext)
}

// drawJob returns a new job. The order of the draws is part of what a seed means.
func (c *clients) drawJob() *clientJob {
	job := &clientJob{zone: c.random.IntN(Zones), submittedAt: c.fleet.now}
	draw := c.random.Float64()
	for job.class < len(classes)-1 && draw >= classes[job.class].fraction {
		draw -= classes[job.class].fraction
		job.class++
	}
	draw = c.random.Float64()
	for job.team < teamCount-1 && draw >= c.cumulativeByTeam[job.team] {
		job.team++
	}
	draw = c.random.Float64()
	for job.slotMixIndex < len(slotMix)-1 && draw >= slotMix[job.slotMixIndex].fraction {
		draw -= slotMix[job.slotMixIndex].fraction
		job.slotMixIndex++
	}
	job.slots = slotMix[job.slotMixIndex].slots
	job.work = float64(c.fleet.task) * (0.25 + 0.75*c.random.ExpFloat64())
	return job
}

// submit sends a request for a job to a random scheduler of its zone, as a front end does.
func (c *clients) submit(job *clientJob, timeout Micros) {
	f := c.fleet
	c.lastRequest++
	job.submissions++
	candidates := c.schedulersByZone[job.zone]
	n := candidates[c.random.IntN(len(candidates))]
	req := newRequest(n, c.lastRequest, job, timeout)
	f.tally.model.Requests++
	f.network.send(job.zone, n.zone, requestBytes, func() { n.submit(req) })
}

// handleAnswer handles the answer to a request as its client receives it.
func (c *clients) handleAnswer(req *request, a scheduler.Answer) {
	f := c.fleet
	switch a.Verdict {
	case scheduler.Served:
		f.tally.model.Served++
	case scheduler.Refused:
		f.tally.model.Refused++
		f.meter.countRefusal(f)
		c.retry(req, max(a.RetryAfter, minRetryDelay))
	case scheduler.Failed:
		f.tally.model.Failed++
	default:
		f.tally.model.Invalid++
	}
}

// retry submits a refused job again after a delay, unless too little time or no submission remains.
func (c *clients) retry(req *request, delay Micros) {
	remaining := req.deadline - c.fleet.now - delay
	if remaining < minRetryTime || req.job.submissions >= maxSubmissions {
		c.fleet.tally.model.GaveUp++
		return
	}
	c.fleet.after(delay, func() { c.submit(req.job, remaining) })
}

// jobStarted notes that a worker starts the job of a request.
func (c *clients) jobStarted(req *request) {
	f, job := c.fleet, req.job
	f.tally.model.Starts++
	f.meter.countStart(f)
	switch {
	case job.firstStarted == nil:
		job.firstStarted = req
		f.tally.jobStarted(job, f.now-job.submittedAt)
	case job.firstStarted != req && classes[job.class].atMostOnce:
		f.tally.addFinding(history.Finding{Property: "runs-as-allowed", ID: req.id,
			Text: "its client's earlier request, which was refused, had run"})
	}
}
