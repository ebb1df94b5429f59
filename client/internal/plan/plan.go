// Package plan makes the decisions of a client: what to do with a job after each attempt, at which
// scheduler and when the next one starts, and when to give up. It has no I/O and no clock: what happened
// goes in with its time, what to do comes out. Package client carries it out.
package plan

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Effect says what may be done once an attempt may have run.
type Effect uint8

// The effects of a class.
const (
	// Once marks jobs that must never run twice.
	Once Effect = iota
	// Rack marks jobs whose duplicates are dropped within one rack only. A client cannot choose the rack that a
	// retry goes to, so for a client this is as strict as Once.
	Rack
	// Anywhere marks jobs whose duplicates are dropped everywhere, within the window.
	Anywhere
	// Safe marks jobs that may be repeated at will.
	Safe
)

// Class is a class of jobs.
type Class struct {
	Effect      Effect
	Window      time.Duration // for Anywhere: how long duplicates are dropped, from the first attempt on
	MaxAttempts int           // for one job, the first included; only those that were submitted count
}

// Config is the configuration of a plan.
type Config struct {
	Schedulers int     // how many there are; they are numbered from 0
	Classes    []Class // by number
	// RetryBudget is the tokens that each fresh job earns, and MaxTokens how many may be saved up; one is there
	// at the start. A retry costs one. Without a token a refusal is returned at once.
	RetryBudget float64
	MaxTokens   float64
	// Backoff is the range of the first wait after a refusal without Retry-After. It doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// EjectAfterFailures failed attempts in a row eject a scheduler, for about BaseEjection, which doubles up to
	// MaxEjection. At most half of the schedulers are ejected so. Those that refuse connections do not count
	// towards that half: one such failure is proof enough, and all of them may be ejected.
	EjectAfterFailures        int
	BaseEjection, MaxEjection time.Duration
}

// MaxRetryAfter bounds the Retry-After that is honoured: a longer one is an error somewhere, and no reason to
// hold a job for a day.
const MaxRetryAfter = time.Minute

// Verdict is the end of a job.
type Verdict uint8

// The verdicts.
const (
	Pending Verdict = iota // the job has not ended: there will be another attempt
	Served
	Refused // it did not run; Step.At is when to submit it again
	Failed  // it may have run, and failed
	Unknown // it may have run; its result cannot be determined
	Invalid // a scheduler rejected it as invalid
	Expired // there is no time for an attempt, and none may have run
)

// Step is what to do next. While the verdict is Pending: with StartNow, make an attempt at the scheduler at
// once; otherwise call Start at the time At, or with AllEjected as soon as Available is no longer zero.
type Step struct {
	Verdict    Verdict
	StartNow   bool
	Scheduler  int
	Retry      bool // the attempt is not the first one that is submitted
	At         time.Time
	AllEjected bool // no scheduler is available
}

// Job is one job from its arrival to its verdict. It belongs to the caller of Begin.
type Job struct {
	class           *Class
	deadline        time.Time
	attempts        int       // that were submitted, or are in flight
	firstMayHaveRun time.Time // when the first attempt that may have run started; zero: none may have
	scheduler       int       // of the current or last attempt; -1: none yet
	inFlight        bool      // an attempt is in flight
	fallbackVerdict Verdict   // the verdict if no further attempt starts
	done            bool
}

// Plan holds what a client knows of its schedulers, and its retry budget. It is not safe for concurrent
// use: its owner calls it with one event at a time.
type Plan struct {
	cfg        Config
	random     *rand.Rand
	tokens     float64 // retries that the budget allows now
	schedulers []schedulerState
	preference []int // the order in which this client uses the schedulers
	throttled  int
}

// New returns a plan. The seed determines all random choices. The error names the field that is invalid.
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
		return errors.New("schedulers: none is named")
	case len(cfg.Classes) == 0:
		return errors.New("classes: none is named")
	case !(cfg.RetryBudget >= 0 && cfg.RetryBudget <= 1): // NaN is neither
		return fmt.Errorf("budget: %v is not within 0 and 1", cfg.RetryBudget)
	case !(cfg.MaxTokens >= 0):
		return fmt.Errorf("max tokens: %v is negative", cfg.MaxTokens)
	case cfg.Backoff <= 0 || cfg.MaxBackoff < cfg.Backoff:
		return errors.New("backoff: it must be positive, and no longer than the longest")
	case cfg.EjectAfterFailures <= 0 || cfg.BaseEjection <= 0 || cfg.MaxEjection < cfg.BaseEjection:
		return errors.New("eject: its figures must be positive, and its time no longer than the longest")
	}
	for i, class := range cfg.Classes {
		switch {
		case class.MaxAttempts <= 0:
			return fmt.Errorf("classes[%d].tries: %d is not positive", i, class.MaxAttempts)
		case class.Effect > Safe:
			return fmt.Errorf("classes[%d].effect: unknown", i)
		case class.Effect == Anywhere && class.Window <= 0:
			return fmt.Errorf("classes[%d].window: it must be positive", i)
		}
	}
	return nil
}

// Begin accepts a new job and starts its first attempt. Its deadline is fixed here.
func (p *Plan) Begin(now time.Time, class int, deadline time.Time) (*Job, Step) {
	p.tokens = min(p.tokens+p.cfg.RetryBudget, p.cfg.MaxTokens)
	j := &Job{class: &p.cfg.Classes[class], deadline: deadline, scheduler: -1, fallbackVerdict: Expired}
	return j, p.Start(now, j)
}

// Start begins the next attempt of a job, if there is a scheduler for it. The scheduler is chosen now, by
// what is known now, and not when the retry was planned.
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
	return Step{StartNow: true, Scheduler: number, At: now, Retry: j.attempts > 1}
}

// waitForScheduler lets a job wait until a scheduler may be available, or ends it if that is too late for it.
func (p *Plan) waitForScheduler(j *Job, availableAt time.Time) Step {
	if availableAt.Before(j.deadline) {
		return Step{At: availableAt, AllEjected: true}
	}
	if j.fallbackVerdict == Expired {
		j.fallbackVerdict = Refused // it did not run, and no scheduler is available in time
	}
	return p.finish(j, j.fallbackVerdict, availableAt)
}

func (p *Plan) finish(j *Job, verdict Verdict, at time.Time) Step {
	j.done = true
	return Step{Verdict: verdict, At: at}
}

// Cancel ends a job whose caller has given up, whether an attempt is in flight or about to start.
func (p *Plan) Cancel(j *Job) {
	j.done = true
	p.releaseAttempt(j)
}

// releaseAttempt ends the attempt in flight, if there is one.
func (p *Plan) releaseAttempt(j *Job) {
	if j.inFlight {
		j.inFlight = false
		p.schedulers[j.scheduler].inFlight--
		p.schedulers[j.scheduler].probing = false
	}
}

// AttemptEnded takes the end of an attempt and the time when it started, and says what is next.
func (p *Plan) AttemptEnded(now, started time.Time, j *Job, r AttemptResult) Step {
	if j.done || !j.inFlight {
		return Step{Verdict: Unknown}
	}
	p.recordOutcome(now, j.scheduler, r)
	p.releaseAttempt(j)
	if mayHaveRun(r) && j.firstMayHaveRun.IsZero() {
		j.firstMayHaveRun = started
	}
	switch {
	case r.Outcome == Answered && r.Status == statusOK:
		return p.finish(j, Served, time.Time{})
	case r.Invalid():
		return p.finish(j, Invalid, time.Time{})
	}
	j.fallbackVerdict = finalVerdict(r)
	if !j.firstMayHaveRun.IsZero() && j.fallbackVerdict == Refused {
		j.fallbackVerdict = Unknown // this attempt did not run; an earlier one may have
	}
	if !r.submitted() {
		return p.failOver(now, j)
	}
	return p.planRetry(now, j, r)
}

// failOver follows an attempt that no scheduler received. It does not count, as it adds no load to any. The
// number of such attempts is bounded, as their schedulers are ejected.
func (p *Plan) failOver(now time.Time, j *Job) Step {
	j.attempts--
	if now.Before(j.deadline) {
		return Step{At: now}
	}
	return p.finish(j, j.fallbackVerdict, now)
}

// planRetry plans the next attempt, if the job's class, its deadline and the budget allow one.
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

// Throttled counts the jobs that got no further attempt because the retry budget was used up.
func (p *Plan) Throttled() int { return p.throttled }

// retryAllowed reports whether the class of a job allows an attempt at a time, by what is known of its
// earlier ones.
func retryAllowed(j *Job, at time.Time) bool {
	if j.firstMayHaveRun.IsZero() {
		return true
	}
	switch j.class.Effect {
	case Safe:
		return true
	case Anywhere:
		return at.Sub(j.firstMayHaveRun) < j.class.Window
	}
	return false
}

// retryAt is when the next attempt may start: never before the scheduler's Retry-After, and at a random
// time after it, as all jobs that were refused together would return together.
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
