// Package plan makes the decisions of the client library: whether a job gets another attempt, which scheduler
// receives the attempt, when the attempt starts, and when the client gives up. The package does no I/O and
// reads no clock: each call passes an event with its time and returns the next step. Package client carries
// out the steps.
package plan

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Effect says whether a job may be repeated after an attempt in which it may have run.
type Effect uint8

// The effects that a class may have, from the strictest to the least strict: Once never allows a job that may
// have run to be repeated, and Safe always allows a repeat.
const (
	// Once marks jobs that must never run twice.
	Once Effect = iota
	// Rack marks jobs whose duplicates are dropped only if they reach the rack that ran the first copy. A
	// client cannot choose the rack of a retry, so it treats Rack like Once.
	Rack
	// Anywhere marks jobs whose duplicates are dropped in every rack during the deduplication window.
	Anywhere
	// Safe marks jobs that may run any number of times.
	Safe
)

// Class describes a class of jobs.
type Class struct {
	Effect Effect
	// Window is the deduplication window of a class with the effect Anywhere: the time during which duplicates
	// of a job are dropped. The window starts with the first attempt in which the job may have run.
	Window time.Duration
	// MaxAttempts bounds the attempts for one job, the first attempt included. Attempts that got no connection
	// to the scheduler do not count.
	MaxAttempts int
}

// Config is the configuration of a plan.
type Config struct {
	Schedulers int     // number of schedulers; a scheduler is identified by an index from 0 to Schedulers-1
	Classes    []Class // classes of jobs, indexed by the class number that Begin takes
	// RetryBudget is the number of retry tokens that each new job adds, and MaxTokens the largest number of
	// unused tokens that is kept. A plan starts with one token, and each retry uses one token. If no token is
	// left, the job ends with the result of its last attempt.
	RetryBudget float64
	MaxTokens   float64
	// Backoff is the upper end of the random delay before the first retry. The delay is added to the Retry-After
	// of the scheduler's response, if there is one. The upper end doubles with each further retry of the job, up
	// to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// EjectAfterFailures is the number of consecutive attempts without a response after which a scheduler is
	// ejected. The first ejection lasts about BaseEjection, and each further ejection without a response in
	// between lasts twice as long, up to MaxEjection. Missing responses eject a scheduler only if at most half
	// of the schedulers are then ejected. A scheduler that refuses connections is ejected after one failure,
	// even if all other schedulers are ejected, because a refused connection proves that the scheduler takes no
	// jobs.
	EjectAfterFailures        int
	BaseEjection, MaxEjection time.Duration
}

// MaxRetryAfter bounds the delay that a client honours from a Retry-After header. The client regards a longer
// delay as a misconfiguration of the scheduler, which must not delay a job by a day.
const MaxRetryAfter = time.Minute

// Verdict says how a job ended.
type Verdict uint8

// The verdicts on a job. All verdicts but Pending are final.
const (
	Pending Verdict = iota // the job has not ended: an attempt follows
	Served                 // a scheduler answered with the result of the job
	Refused                // the job did not run; Step.At is when the caller may submit the job again
	Failed                 // the job may have run, and the scheduler answered with an error status
	Unknown                // the job may have run, and its result cannot be determined
	Invalid                // a scheduler rejected the job as invalid
	Expired                // the deadline passed before the first attempt started
)

// Step tells the caller what to do next with a job. While Verdict is Pending and StartNow is set, the caller
// sends an attempt to Scheduler at once and reports its end by AttemptEnded. While Verdict is Pending and
// StartNow is not set, the caller waits until At and calls Start. If AllEjected is set, the caller may call
// Start earlier, once Plan.Available is no longer zero.
//
// An attempt may wait for its connection after it has started. The caller must not write the request of an
// attempt at or after WriteDeadline, and reports an attempt that it did not write as ClientLimited or
// NotSent.
type Step struct {
	Verdict   Verdict
	StartNow  bool
	Scheduler int  // index of the scheduler that receives the attempt
	Retry     bool // an earlier attempt of the job was submitted to a scheduler
	// At is the time at which an attempt starts, at which to call Start, or, with the verdict Refused, at which
	// the caller may submit the job again.
	At time.Time
	// WriteDeadline is the time before which the last byte of the attempt's request must be written: the job's
	// deadline, or the end of the job's deduplication window if that is earlier. It is only set if StartNow is.
	WriteDeadline time.Time
	AllEjected    bool // all schedulers are ejected or being probed
}

// Job is the state of one job from Begin to its verdict. The caller of Begin keeps the Job and passes it to
// the other methods of Plan.
type Job struct {
	class    *Class
	deadline time.Time
	attempts int // number of attempts for this job that count towards Class.MaxAttempts, one in flight included
	// firstMayHaveRun is the time at which the first attempt in which the job may have run was sent. It is zero
	// if the job cannot have run yet.
	firstMayHaveRun time.Time
	scheduler       int     // index of the scheduler of the current or last attempt; -1 before the first attempt
	inFlight        bool    // an attempt of the job is in flight
	fallbackVerdict Verdict // verdict of the job if no further attempt starts
	done            bool    // the job has a verdict other than Pending, or its caller cancelled it
}

// Plan holds the health and load of the schedulers as this client observes them, and the client's retry
// budget. A Plan is not safe for concurrent use: its owner must serialize all calls.
type Plan struct {
	cfg        Config
	random     *rand.Rand
	tokens     float64          // unused retry tokens; each retry uses one token
	schedulers []schedulerState // state of each scheduler, indexed by scheduler number
	preference []int            // scheduler indexes in the random order in which this client prefers them
	throttled  int              // number of jobs that got no retry because no token was left
}

// New returns a plan. The seed determines all random choices. The error names the invalid field.
func New(cfg Config, seed uint64) (*Plan, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 0))
	return &Plan{
		cfg:        cfg,
		random:     random,
		tokens:     min(1, cfg.MaxTokens),
		schedulers: make([]schedulerState, cfg.Schedulers),
		preference: random.Perm(cfg.Schedulers),
	}, nil
}

func (cfg Config) validate() error {
	switch {
	case cfg.Schedulers <= 0:
		return errors.New("schedulers: none configured")
	case len(cfg.Classes) == 0:
		return errors.New("classes: none configured")
	case !(cfg.RetryBudget >= 0 && cfg.RetryBudget <= 1): // the negation also rejects NaN
		return fmt.Errorf("budget: got %v retries per job, must be between 0 and 1", cfg.RetryBudget)
	case !(cfg.MaxTokens >= 0):
		return fmt.Errorf("max tokens: got %v retry tokens, must not be negative", cfg.MaxTokens)
	case cfg.Backoff <= 0 || cfg.MaxBackoff < cfg.Backoff:
		return errors.New("backoff: must be positive and not above the maximum backoff")
	case cfg.EjectAfterFailures <= 0 || cfg.BaseEjection <= 0 || cfg.MaxEjection < cfg.BaseEjection:
		return errors.New("ejection: number of failures and base duration must be positive, base not above maximum")
	}
	for i, class := range cfg.Classes {
		switch {
		case class.MaxAttempts <= 0:
			return fmt.Errorf("classes[%d].tries: got %d attempts, must be positive", i, class.MaxAttempts)
		case class.Effect > Safe:
			return fmt.Errorf("classes[%d].effect: unknown effect", i)
		case class.Effect == Anywhere && class.Window <= 0:
			return fmt.Errorf("classes[%d].window: must be positive", i)
		}
	}
	return nil
}

// Begin accepts a new job of the class with the given number and starts its first attempt. The deadline of
// the job does not change afterwards.
func (p *Plan) Begin(now time.Time, class int, deadline time.Time) (*Job, Step) {
	p.tokens = min(p.tokens+p.cfg.RetryBudget, p.cfg.MaxTokens)
	j := &Job{class: &p.cfg.Classes[class], deadline: deadline, scheduler: -1, fallbackVerdict: Expired}
	return j, p.Start(now, j)
}

// Start starts the next attempt of a job, if a scheduler is available for it. Start chooses the scheduler
// by the state of the schedulers at this time, not at the time when the retry was planned.
func (p *Plan) Start(now time.Time, j *Job) Step {
	if j.done || j.inFlight || !now.Before(j.deadline) || !retryAllowed(j, now) {
		return p.finish(j, j.fallbackVerdict, now)
	}
	number, availableAt := p.pickScheduler(now, j.scheduler)
	if number < 0 {
		return p.waitForScheduler(j, availableAt)
	}
	j.scheduler, j.inFlight = number, true
	j.attempts++
	p.schedulers[number].inFlight++
	return Step{StartNow: true, Scheduler: number, At: now, WriteDeadline: j.writeDeadline(),
		Retry: j.attempts > 1}
}

// waitForScheduler makes a job wait until availableAt, when a scheduler may be available again. If the job's
// deadline is not later than availableAt, waitForScheduler ends the job.
func (p *Plan) waitForScheduler(j *Job, availableAt time.Time) Step {
	if availableAt.Before(j.deadline) {
		return Step{At: availableAt, AllEjected: true}
	}
	if j.fallbackVerdict == Expired {
		j.fallbackVerdict = Refused // no attempt was made, so the caller may submit the job again
	}
	return p.finish(j, j.fallbackVerdict, availableAt)
}

// finish ends a job with the given verdict. at becomes the time At of the returned step.
func (p *Plan) finish(j *Job, verdict Verdict, at time.Time) Step {
	j.done = true
	return Step{Verdict: verdict, At: at}
}

// Cancel ends a job whose caller has cancelled it, whether an attempt is in flight or about to start.
func (p *Plan) Cancel(j *Job) {
	j.done = true
	p.releaseAttempt(j)
}

// releaseAttempt removes the attempt of a job, if one is in flight, from the load of its scheduler.
func (p *Plan) releaseAttempt(j *Job) {
	if j.inFlight {
		j.inFlight = false
		p.schedulers[j.scheduler].inFlight--
		p.schedulers[j.scheduler].probing = false
	}
}

// AttemptEnded records that the attempt in flight of job j ended with result r, and returns the next step of
// the job. sentAt is the time just before the first byte of the attempt's request was written; it is ignored
// if r shows that the job did not run in this attempt.
func (p *Plan) AttemptEnded(now, sentAt time.Time, j *Job, r AttemptResult) Step {
	if j.done || !j.inFlight {
		return Step{Verdict: Unknown}
	}
	p.recordOutcome(now, j.scheduler, r)
	p.releaseAttempt(j)
	if mayHaveRun(r) && j.firstMayHaveRun.IsZero() {
		j.firstMayHaveRun = sentAt
	}
	switch {
	case r.Outcome == Answered && r.Status == statusOK:
		return p.finish(j, Served, time.Time{})
	case r.Invalid():
		return p.finish(j, Invalid, time.Time{})
	}
	j.fallbackVerdict = finalVerdict(r)
	if !j.firstMayHaveRun.IsZero() && j.fallbackVerdict == Refused {
		j.fallbackVerdict = Unknown // the job did not run in this attempt, but may have run in an earlier attempt
	}
	if !r.submitted() {
		return p.failOver(now, j)
	}
	return p.planRetry(now, j, r)
}

// failOver starts another attempt at once after an attempt that got no connection to its scheduler. The
// failed attempt does not count towards the class's maximum, because it put no load on any scheduler. The
// number of such attempts is bounded, because each of them ejects its scheduler; only closed idle connections
// do not eject the last available scheduler.
func (p *Plan) failOver(now time.Time, j *Job) Step {
	j.attempts--
	if now.Before(j.deadline) {
		return Step{At: now}
	}
	return p.finish(j, j.fallbackVerdict, now)
}

// planRetry schedules another attempt if the job's class, its deadline and the retry budget allow an attempt,
// and otherwise ends the job.
func (p *Plan) planRetry(now time.Time, j *Job, r AttemptResult) Step {
	at := p.retryAt(now, j, r)
	switch {
	case r.Outcome == ClientLimited, j.attempts >= j.class.MaxAttempts,
		!at.Before(j.deadline), !retryAllowed(j, at):
		return p.finish(j, j.fallbackVerdict, at)
	case p.tokens < 1:
		p.throttled++
		return p.finish(j, j.fallbackVerdict, at)
	}
	p.tokens--
	return Step{At: at}
}

// Throttled returns the number of jobs that got no retry because the retry budget was used up.
func (p *Plan) Throttled() int { return p.throttled }

// retryAllowed reports whether the effect of the job's class allows another attempt that starts at the given
// time. Every class allows another attempt if the job cannot have run in an earlier attempt.
func retryAllowed(j *Job, at time.Time) bool {
	if j.firstMayHaveRun.IsZero() {
		return true
	}
	switch j.class.Effect {
	case Safe:
		return true
	case Anywhere:
		return at.Before(j.writeDeadline())
	}
	return false
}

// writeDeadline returns the time before which a further attempt must be written: the job's deadline, or the
// end of the deduplication window if the job may have run and the window ends earlier.
func (j *Job) writeDeadline() time.Time {
	if j.class.Effect != Anywhere || j.firstMayHaveRun.IsZero() {
		return j.deadline
	}
	windowEnd := j.firstMayHaveRun.Add(j.class.Window)
	if windowEnd.Before(j.deadline) {
		return windowEnd
	}
	return j.deadline
}

// retryAt returns the time at which the next attempt may start: now, plus the Retry-After of the scheduler's
// response, if there is one, plus a random delay. The random delay keeps jobs that were refused at the same
// time from being retried at the same time.
func (p *Plan) retryAt(now time.Time, j *Job, r AttemptResult) time.Time {
	limit := p.cfg.Backoff
	for range j.attempts - 1 {
		limit = min(2*limit, p.cfg.MaxBackoff)
	}
	jitter := p.jitter(limit)
	if r.Outcome == Answered && r.HasRetryAfter && r.RetryAfter >= 0 {
		return now.Add(min(r.RetryAfter, MaxRetryAfter) + jitter)
	}
	return now.Add(jitter)
}
