// Package plan decides for a desk: what to do with a job after each try, at which
// scheduler and when the next one starts, and when to give up. It has no I/O and no clock:
// what happened goes in with its time, what to do comes out. Package desk carries it out.
package plan

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Effect says what may be done once a try may have run.
type Effect uint8

// The effects. Rack: repeats are dropped within one rack only, and a desk cannot say which
// rack a repeat goes to, so for a desk it is as strict as Once.
const (
	Once     Effect = iota // must never run twice
	Rack                   // repeats are dropped within a rack
	Anywhere               // repeats are dropped everywhere, within the window
	Safe                   // may be repeated at will
)

// Class is a class of jobs.
type Class struct {
	Effect      Effect
	Window      time.Duration // for Anywhere: how long repeats are dropped, from the first try on
	MaxAttempts int           // at most, the first one included; those count that were handed in
}

// Config is what a desk is told.
type Config struct {
	Schedulers int     // how many there are; they are numbered from 0
	Classes    []Class // by number
	// RetryBudget is the share of fresh jobs that retries may amount to, and Spare how many may
	// be saved up; the first one is given. When it is used up, a caller gets the refusal at
	// once.
	RetryBudget float64
	MaxTokens   float64
	// Backoff is the first wait after a refusal that names none, doubling up to Longest.
	Backoff, MaxBackoff time.Duration
	// EjectAfter failures in a row set a scheduler aside, for about Eject, doubling up to
	// EjectMost. Never more than half of them are, but for those that nobody listens at:
	// one failure tells these, and all of them may be.
	EjectAfter                int
	BaseEjection, MaxEjection time.Duration
}

// MaxRetryAfter bounds what a scheduler may say about when to come back: an absurd figure is
// an error somewhere, not a reason to hold a job for a day.
const MaxRetryAfter = time.Minute

// Outcome says how a try ended, by what it proves about the job.
type Outcome uint8

// The proofs.
const (
	Answered Outcome = iota // there is a whole answer: see Status
	// ConnectFailed: the connection was refused, or never came up. Nobody has taken the job.
	ConnectFailed
	// IdleClosed: the scheduler had closed the kept connections while they idled; no other was
	// opened. It is ending, or short of sockets.
	IdleClosed
	// NotSent: the connection broke before the last byte of the request was out. Nobody can
	// have read the job whole.
	NotSent
	// ClientLimited: the desk had no connection for it in time, by its own bounds. That tells
	// nothing of the scheduler.
	ClientLimited
	// ReusedClosed: a kept connection ended with no byte of an answer. The scheduler may have
	// closed it between requests, before it read this one; or it took the job and died. The
	// two cannot be told apart, so for what must never run twice this is as Lost.
	ReusedClosed
	NoResponse // the request was out, and no whole answer came
	Malformed  // what came is no answer: its framing is broken, or it is too large
)

// AttemptResult is the end of a try.
type AttemptResult struct {
	Outcome Outcome
	Status  int
	// Advice is when the scheduler said to come back, counted from the answer; with Advised.
	HasRetryAfter bool
	RetryAfter    time.Duration
	// ConnectionClose: the scheduler closes the connection after its answer. With a refusal it is
	// about to end, or short of sockets.
	ConnectionClose bool
}

// Refused tells whether a scheduler refused the job: it did not run there.
func (r AttemptResult) Refused() bool {
	return r.Outcome == Answered && (r.Status == 429 || r.Status == 503)
}

// Invalid tells whether a scheduler said that the job makes no sense.
func (r AttemptResult) Invalid() bool {
	return r.Outcome == Answered && r.Status >= 400 && r.Status < 500 && r.Status != 429
}

// Verdict is the end of a job.
type Verdict uint8

// The verdicts.
const (
	Pending Verdict = iota // not over: try again
	Served
	Refused // it did not run; Step.At says when to come back, if anybody knows
	Failed  // it may have run, and failed
	Unknown // it may have run; nobody can say
	Invalid // the submission makes no sense
	Expired // no time is left for a try, and none may have run
)

// Step is what to do next. With Pending and Go: make a try at the scheduler, now. With
// Pending alone: call Start at that time, or with Away as soon as Well is no longer zero.
type Step struct {
	Verdict    Verdict
	StartNow   bool
	Scheduler  int
	Retry      bool
	At         time.Time
	AllEjected bool // no scheduler can be reached
}

// Job is one job from its arrival to its verdict. It belongs to whoever began it.
type Job struct {
	class           *Class
	deadline        time.Time
	attempts        int
	firstMayHaveRun time.Time // when the first try started that may have run; zero: none may have
	scheduler       int       // the scheduler of the present or last try; -1: none yet
	inFlight        bool      // a try is under way
	fallback        Verdict   // its verdict if no further try begins
	done            bool
}

// Plan holds what a desk knows of its schedulers, and its budget. It is not safe for
// several goroutines: its owner calls it one event at a time.
type Plan struct {
	cfg        Config
	random     *rand.Rand
	tokens     float64
	schedulers []scheduler
	preference []int // in which this desk turns to them

	throttled int
}

type scheduler struct {
	inFlight            int     // tries under way
	consecutiveFailures int     // in a row
	refusalRate         float64 // the share of refusals among its last answers, roughly
	ejection            time.Duration
	ejectedUntil        time.Time // set aside until then; zero: it is well
	probing             bool      // it was set aside, and one try finds out whether it is back
}

// New returns a plan. The seed decides all that is left to chance.
func New(cfg Config, seed uint64) (*Plan, error) {
	switch {
	case cfg.Schedulers <= 0:
		return nil, errors.New("schedulers: none is named")
	case len(cfg.Classes) == 0:
		return nil, errors.New("classes: none is named")
	case !(cfg.RetryBudget >= 0 && cfg.RetryBudget <= 1):
		return nil, fmt.Errorf("budget: %v is not within 0 and 1", cfg.RetryBudget)
	case !(cfg.MaxTokens >= 0):
		return nil, fmt.Errorf("spare: %v is negative", cfg.MaxTokens)
	case cfg.Backoff <= 0 || cfg.MaxBackoff < cfg.Backoff:
		return nil, errors.New("backoff: it must be positive, and no longer than the longest")
	case cfg.EjectAfter <= 0 || cfg.BaseEjection <= 0 || cfg.MaxEjection < cfg.BaseEjection:
		return nil, errors.New("eject: its figures must be positive, and its time no longer than the longest")
	}
	for i, c := range cfg.Classes {
		switch {
		case c.MaxAttempts <= 0:
			return nil, fmt.Errorf("classes[%d].tries: %d is not positive", i, c.MaxAttempts)
		case c.Effect > Safe:
			return nil, fmt.Errorf("classes[%d].effect: unknown", i)
		case c.Effect == Anywhere && c.Window <= 0:
			return nil, fmt.Errorf("classes[%d].window: it must be positive", i)
		}
	}
	random := rand.New(rand.NewPCG(seed, 0))
	return &Plan{cfg: cfg, random: random, tokens: min(1, cfg.MaxTokens), schedulers: make([]scheduler, cfg.Schedulers),
		preference: random.Perm(cfg.Schedulers)}, nil
}

// Begin takes a new job. Its deadline is set here once and for all.
func (p *Plan) Begin(now time.Time, class int, deadline time.Time) (*Job, Step) {
	p.tokens = min(p.tokens+p.cfg.RetryBudget, p.cfg.MaxTokens)
	j := &Job{class: &p.cfg.Classes[class], deadline: deadline, scheduler: -1, fallback: Expired}
	return j, p.Start(now, j)
}

// Start begins the next try of a job, if there is a scheduler for it. The choice is made
// now, by what is known now, and not when the try was planned.
func (p *Plan) Start(now time.Time, j *Job) Step {
	if j.done || j.inFlight || !now.Before(j.deadline) || !retryAllowed(j, now) {
		return p.finish(j, Step{Verdict: j.fallback, At: now})
	}
	i, returnAt := p.pickScheduler(now, j.scheduler)
	if i < 0 && returnAt.Before(j.deadline) {
		return Step{At: returnAt, AllEjected: true}
	}
	if i < 0 {
		if j.fallback == Expired {
			j.fallback = Refused // it did not run, and no scheduler can be reached in time
		}
		return p.finish(j, Step{Verdict: j.fallback, At: returnAt})
	}
	j.scheduler, j.inFlight = i, true
	j.attempts++
	p.schedulers[i].inFlight++
	return Step{StartNow: true, Scheduler: i, At: now, Retry: j.attempts > 1}
}

func (p *Plan) finish(j *Job, s Step) Step {
	j.done = true
	return s
}

// Cancel ends a job whose caller has gone, with a try under way or waiting to begin.
func (p *Plan) Cancel(j *Job) {
	j.done = true
	p.release(j)
}

func (p *Plan) release(j *Job) {
	if j.inFlight {
		j.inFlight = false
		p.schedulers[j.scheduler].inFlight--
		p.schedulers[j.scheduler].probing = false
	}
}

// AttemptEnded takes the end of a try that began at a time, and says what is next.
func (p *Plan) AttemptEnded(now, began time.Time, j *Job, r AttemptResult) Step {
	if j.done || !j.inFlight {
		return Step{Verdict: Unknown}
	}
	p.recordOutcome(now, j.scheduler, r)
	p.release(j)
	if mayHaveRun(r) && j.firstMayHaveRun.IsZero() {
		j.firstMayHaveRun = began
	}
	switch {
	case r.Outcome == Answered && r.Status == 200:
		return p.finish(j, Step{Verdict: Served})
	case r.Invalid():
		return p.finish(j, Step{Verdict: Invalid})
	}
	j.fallback = finalVerdict(r)
	if !j.firstMayHaveRun.IsZero() && j.fallback == Refused {
		j.fallback = Unknown // this try did not run; an earlier one may have
	}
	if r.Outcome == ConnectFailed || r.Outcome == IdleClosed {
		// That was no try: nobody had the job, and it costs no scheduler anything. Its number
		// is bounded, as the scheduler is set aside.
		j.attempts--
		if now.Before(j.deadline) {
			return Step{At: now}
		}
		return p.finish(j, Step{Verdict: j.fallback, At: now})
	}
	returnAt := p.retryAt(now, j, r)
	switch {
	case r.Outcome == ClientLimited:
		return p.finish(j, Step{Verdict: j.fallback, At: returnAt})
	case j.attempts >= j.class.MaxAttempts, !returnAt.Before(j.deadline), !retryAllowed(j, returnAt):
		return p.finish(j, Step{Verdict: j.fallback, At: returnAt})
	case p.tokens < 1:
		p.throttled++
		return p.finish(j, Step{Verdict: j.fallback, At: returnAt})
	}
	p.tokens--
	return Step{At: returnAt}
}

// Throttled counts the jobs that got no further try because the budget was used up.
func (p *Plan) Throttled() int { return p.throttled }

// retryAllowed tells whether what is known of a job allows a try at a time.
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

// mayHaveRun tells what the end of a try leaves open.
func mayHaveRun(r AttemptResult) bool {
	switch r.Outcome {
	case ConnectFailed, IdleClosed, NotSent, ClientLimited:
		return false
	case Answered:
		return !r.Refused() && !r.Invalid()
	}
	return true
}

// finalVerdict is what the end of a try means for a job that gets no further one.
func finalVerdict(r AttemptResult) Verdict {
	switch r.Outcome {
	case Answered:
		if r.Refused() {
			return Refused
		}
		return Failed
	case ConnectFailed, IdleClosed, NotSent, ClientLimited:
		return Refused // nobody took it: a repeat is harmless
	}
	return Unknown
}

// retryAt is when a next try may begin: never before the scheduler's advice, and spread
// beyond it, as all that were refused together would come back together.
func (p *Plan) retryAt(now time.Time, j *Job, r AttemptResult) time.Time {
	limit := p.cfg.Backoff
	for range j.attempts - 1 {
		limit = min(2*limit, p.cfg.MaxBackoff)
	}
	jitter := time.Duration(p.random.Float64() * float64(limit))
	if r.Outcome == Answered && r.HasRetryAfter && r.RetryAfter >= 0 {
		return now.Add(min(r.RetryAfter, MaxRetryAfter) + jitter)
	}
	return now.Add(jitter)
}

// ---- Schedulers

// recordOutcome draws from the end of a try what it tells of its scheduler. A refusal is the word
// of one that is well, though others may be the better choice.
func (p *Plan) recordOutcome(now time.Time, i int, r AttemptResult) {
	s := &p.schedulers[i]
	switch r.Outcome {
	case ClientLimited:
		return
	case IdleClosed:
		if s.ejectedUntil.IsZero() && p.Available() > 1 {
			p.eject(now, s)
		}
		return
	case Answered:
		s.consecutiveFailures, s.ejection, s.ejectedUntil = 0, 0, time.Time{}
		refused := 0.0
		if r.Refused() {
			refused = 1
		}
		s.refusalRate += refusalWeight * (refused - s.refusalRate)
		if r.Refused() && r.ConnectionClose && 2*(p.ejectedCount()+1) <= len(p.schedulers) {
			p.eject(now, s)
		}
		return
	}
	s.consecutiveFailures++
	if r.Outcome != ConnectFailed {
		if s.consecutiveFailures < p.cfg.EjectAfter && !s.probing {
			return
		}
		if s.ejectedUntil.IsZero() && 2*(p.ejectedCount()+1) > len(p.schedulers) {
			return // more than half look ill: the evidence is at fault, or there is nowhere else
		}
	}
	if now.Before(s.ejectedUntil) {
		return // several tries that were under way tell the same
	}
	p.eject(now, s)
}

// eject sets a scheduler aside, for a time that is spread: all desks lose one at the same
// moment.
func (p *Plan) eject(now time.Time, s *scheduler) {
	s.ejection = min(max(2*s.ejection, p.cfg.BaseEjection), p.cfg.MaxEjection)
	s.ejectedUntil = now.Add(s.ejection/2 + time.Duration(p.random.Float64()*float64(s.ejection)))
}

const (
	refusalWeight = 0.2 // of the last answer in the share of refusals
	// refusalCost is how much busier one counts that refuses all: it would look idle, as it
	// is done at once, and draw everything. Where all refuse alike it changes nothing.
	refusalCost = 8
)

// Available counts the schedulers that are not set aside.
func (p *Plan) Available() int { return len(p.schedulers) - p.ejectedCount() }

// ejectedCount counts the schedulers that are set aside.
func (p *Plan) ejectedCount() int {
	n := 0
	for i := range p.schedulers {
		if !p.schedulers[i].ejectedUntil.IsZero() {
			n++
		}
	}
	return n
}

// spreadLoad is the load beyond which a desk turns to further schedulers. Below it, it keeps
// to the first of its order that are well: kept connections are used again only if jobs come
// to the same ones, and a scheduler has no sockets for a connection from every desk.
const spreadLoad = 4

// pickScheduler takes a scheduler of those that are well, and another one than the last if it can.
// One whose time aside is over gets a single try first. With none it tells when there may
// be one.
func (p *Plan) pickScheduler(now time.Time, last int) (int, time.Time) {
	var available []int
	var returnAt time.Time
	for _, i := range p.preference {
		s := &p.schedulers[i]
		switch {
		case s.ejectedUntil.IsZero():
			if i != last {
				available = append(available, i)
			}
		case !now.Before(s.ejectedUntil) && !s.probing && len(available) == 0: // it would be the desk's own
			s.probing = true
			return i, now
		default:
			at := s.ejectedUntil
			if s.probing {
				at = now.Add(p.cfg.BaseEjection)
			}
			if returnAt.IsZero() || at.Before(returnAt) {
				returnAt = at
			}
		}
	}
	if len(available) == 0 && last >= 0 && p.schedulers[last].ejectedUntil.IsZero() {
		return last, now
	}
	if len(available) == 0 {
		return -1, returnAt.Add(time.Duration(p.random.Float64() * float64(p.cfg.BaseEjection) / 4))
	}
	for subset := 1; ; subset *= 2 {
		best := p.lessLoaded(available[:min(subset, len(available))])
		if subset >= len(available) || p.schedulers[best].load() <= spreadLoad {
			return best, now
		}
	}
}

// lessLoaded takes the less busy of two that are drawn.
func (p *Plan) lessLoaded(of []int) int {
	a, b := of[p.random.IntN(len(of))], of[p.random.IntN(len(of))]
	if p.schedulers[b].load() < p.schedulers[a].load() {
		return b
	}
	return a
}

func (s *scheduler) load() float64 { return float64(s.inFlight+1) * (1 + refusalCost*s.refusalRate) }

// InFlight is the number of tries that are under way.
func (p *Plan) InFlight() int {
	n := 0
	for i := range p.schedulers {
		n += p.schedulers[i].inFlight
	}
	return n
}
