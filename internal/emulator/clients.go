package emulator

import (
	"math/rand/v2"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// Limits of the retries of a client whose request was refused.
const (
	maxSubmissions  = 3                 // largest number of requests that a client sends for one job
	minRetryDelay   = 100 * millisecond // shortest delay before a refused job is submitted again
	minTimeForRetry = second            // shortest time left until the deadline of a job that is retried
)

// clients simulates all clients of the fleet. Together they submit jobs as a Poisson process; the zones of
// the jobs are uniformly distributed.
type clients struct {
	fleet            *fleet
	random           *rand.Rand
	meanInterval     float64 // mean time between two jobs, in microseconds
	schedulersByZone [Zones][]*node
	lastRequest      int // number of the latest request; requests are numbered from 1
	// cumulativeByTenant[i] is the fraction of all jobs that tenants 0 to i submit together.
	cumulativeByTenant []float64
}

// clientJob is a job of a client. The client may submit the job several times, each time with a new request.
type clientJob struct {
	class, tenant int
	slotMixIndex  int
	slots, work   float64  // work is the run time of the job on a machine of speed 1, in microseconds
	zone          int      // zone of the client
	submittedAt   Micros   // time of the first submission of the job
	submissions   int      // number of submissions of the job so far
	firstStarted  *request // the first request of the job that a worker started, or nil
}

func newClients(f *fleet) *clients {
	c := &clients{
		fleet:        f,
		random:       f.newRandom(clientStream),
		meanInterval: float64(second) / jobRate(f.options),
	}
	sum := 0.0
	for i := range tenantCount {
		sum += tenantFraction(i)
		c.cumulativeByTenant = append(c.cumulativeByTenant, sum)
	}
	for _, n := range f.nodes {
		c.schedulersByZone[n.zone] = append(c.schedulersByZone[n.zone], n)
	}
	// Clients of a zone without schedulers use the schedulers of the zone's region, or all schedulers if the
	// region has none.
	for z := range Zones {
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

// submitNext submits a new job and schedules the submission of the next job.
func (c *clients) submitNext() {
	f := c.fleet
	job := c.drawJob()
	f.tally.countJob(job)
	c.submit(job, classes[job.class].timeout(f.options))
	f.scheduleAfter(Micros(c.random.ExpFloat64()*c.meanInterval), c.submitNext)
}

// drawJob returns a job with random properties. A change of the order of the random draws changes the results
// of the runs with every seed.
func (c *clients) drawJob() *clientJob {
	job := &clientJob{zone: c.random.IntN(Zones), submittedAt: c.fleet.now}
	draw := c.random.Float64()
	for job.class < len(classes)-1 && draw >= classes[job.class].fraction {
		draw -= classes[job.class].fraction
		job.class++
	}
	draw = c.random.Float64()
	for job.tenant < tenantCount-1 && draw >= c.cumulativeByTenant[job.tenant] {
		job.tenant++
	}
	draw = c.random.Float64()
	for job.slotMixIndex < len(slotMix)-1 && draw >= slotMix[job.slotMixIndex].fraction {
		draw -= slotMix[job.slotMixIndex].fraction
		job.slotMixIndex++
	}
	job.slots = slotMix[job.slotMixIndex].slots
	job.work = float64(c.fleet.meanRunTime) * (0.25 + 0.75*c.random.ExpFloat64())
	return job
}

// submit sends a request for a job to a random scheduler of the client's zone, as a load balancer in front of
// the schedulers does.
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

// handleAnswer handles the arrival of the scheduler's answer to a request at the client.
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

// retry submits a refused job again after a delay. The client gives the job up if less than minTimeForRetry
// would remain until the deadline, or if the job has been submitted maxSubmissions times.
func (c *clients) retry(req *request, delay Micros) {
	remaining := req.deadline - c.fleet.now - delay
	if remaining < minTimeForRetry || req.job.submissions >= maxSubmissions {
		c.fleet.tally.model.GaveUp++
		return
	}
	c.fleet.scheduleAfter(delay, func() { c.submit(req.job, remaining) })
}

// recordStart records that a worker starts the job of a request. A client sends a second request for a job
// only after a refusal of the first. recordStart therefore reports a violation if the job must run at most
// once and a worker has already started the job for an earlier request.
func (c *clients) recordStart(req *request) {
	f, job := c.fleet, req.job
	f.tally.model.Starts++
	f.meter.countStart(f)
	switch {
	case job.firstStarted == nil:
		job.firstStarted = req
		f.tally.recordStart(job, f.now-job.submittedAt)
	case job.firstStarted != req && classes[job.class].atMostOnce:
		f.tally.addFinding(history.Finding{Property: "runs-as-allowed", ID: req.id,
			Text: "its client's earlier request, which was refused, had run"})
	}
}
