package plan

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The numbers of the four classes in testConfig, each with another effect, the rule for repeating a job that
// may have run.
const (
	onceClass = iota
	rackClass
	anywhereClass
	safeClass
)

// testConfig returns a configuration with three schedulers and one class for each effect, the rule for
// repeating a job that may have run.
func testConfig() Config {
	return Config{Schedulers: 3, RetryBudget: 0.1, MaxTokens: 10, Backoff: 50 * time.Millisecond,
		MaxBackoff:         time.Second,
		EjectAfterFailures: 3, BaseEjection: time.Second, MaxEjection: 30 * time.Second,
		Classes: []Class{{Effect: Once, MaxAttempts: 3}, {Effect: Rack, MaxAttempts: 3},
			{Effect: Anywhere, Window: time.Second, MaxAttempts: 3}, {Effect: Safe, MaxAttempts: 3}}}
}

// start is the simulated time at which each test begins.
var start = time.Unix(1000, 0)

func newPlan(t testing.TB, cfg Config) *Plan {
	t.Helper()
	p, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestAttemptOutcomes checks for each outcome of the first attempt and each class whether the plan retries
// the job or which verdict it gives.
func TestAttemptOutcomes(t *testing.T) {
	retry := [4]Verdict{Pending, Pending, Pending, Pending}
	for _, c := range []struct {
		name   string
		result AttemptResult
		want   [4]Verdict // verdicts for classes with the effects once, rack, anywhere, safe
	}{
		{"served", AttemptResult{Status: 200}, [4]Verdict{Served, Served, Served, Served}},
		{"refused", AttemptResult{Status: 503}, retry},
		{"refused with another status", AttemptResult{Status: 429}, retry},
		{"failed", AttemptResult{Status: 500}, [4]Verdict{Failed, Failed, Pending, Pending}},
		{"an unexpected status", AttemptResult{Status: 302}, [4]Verdict{Failed, Failed, Pending, Pending}},
		{"invalid", AttemptResult{Status: 400}, [4]Verdict{Invalid, Invalid, Invalid, Invalid}},
		{"a conflict", AttemptResult{Status: 409}, [4]Verdict{Invalid, Invalid, Invalid, Invalid}},
		{"half written", AttemptResult{Outcome: NotSent}, retry},
		{"no connection allowed", AttemptResult{Outcome: ClientLimited},
			[4]Verdict{Refused, Refused, Refused, Refused}},
		{"a reused connection closed", AttemptResult{Outcome: ReusedClosed},
			[4]Verdict{Unknown, Unknown, Pending, Pending}},
		{"no response", AttemptResult{Outcome: NoResponse}, [4]Verdict{Unknown, Unknown, Pending, Pending}},
		{"a malformed response", AttemptResult{Outcome: Malformed}, [4]Verdict{Unknown, Unknown, Pending, Pending}},
	} {
		var got [4]Verdict
		for class := range got {
			p := newPlan(t, testConfig())
			j, s := p.Begin(start, class, start.Add(5*time.Second))
			if s.Verdict != Pending || s.Retry || !s.At.Equal(start) {
				t.Fatalf("new job: Begin returns step %+v, want an attempt that starts now and is not marked as a retry",
					s)
			}
			s = p.AttemptEnded(start.Add(time.Millisecond), start, j, c.result)
			got[class] = s.Verdict
			if inFlight := p.InFlight(); inFlight != 0 {
				t.Errorf("first attempt ended as %s: got %d attempts in flight after verdict %v, want 0",
					c.name, inFlight, s.Verdict)
			}
			if s.Verdict == Pending {
				if s = p.Start(s.At, j); !s.StartNow || !s.Retry || p.InFlight() != 1 {
					t.Errorf(
						"first attempt ended as %s: Start returns step %+v, want an attempt in flight and marked as a retry",
						c.name, s)
				}
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("first attempt ended as %s: wrong verdicts by class (-want +got): %s", c.name, diff)
		}
	}
}

// TestLaterRefusalProvesNothing checks that a job that may have run in its first attempt ends as unknown, not
// as refused, if its second attempt is refused.
func TestLaterRefusalProvesNothing(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[anywhereClass].MaxAttempts = 2
	p := newPlan(t, cfg)
	j, _ := p.Begin(start, anywhereClass, start.Add(5*time.Second))
	s := p.AttemptEnded(start, start, j, AttemptResult{Outcome: NoResponse})
	if s = p.Start(s.At, j); !s.StartNow {
		t.Fatal(s)
	}
	if s := p.AttemptEnded(start, start, j, AttemptResult{Status: 503}); s.Verdict != Unknown {
		t.Errorf("refusal after an attempt that may have run: AttemptEnded returns step %+v, want verdict Unknown",
			s)
	}
}

// TestRetryTimes checks that a retry starts no earlier than the scheduler's Retry-After, limited to
// MaxRetryAfter, and that the plan adds a bounded random delay, also without a Retry-After.
func TestRetryTimes(t *testing.T) {
	for _, c := range []struct {
		name             string
		result           AttemptResult
		minWait, maxWait time.Duration
	}{
		{"at once", AttemptResult{Status: 503, HasRetryAfter: true}, 0, 50 * time.Millisecond},
		{"a moment", AttemptResult{Status: 503, HasRetryAfter: true, RetryAfter: 50 * time.Millisecond},
			50 * time.Millisecond, 100 * time.Millisecond},
		{"two seconds", AttemptResult{Status: 503, HasRetryAfter: true, RetryAfter: 2 * time.Second},
			2 * time.Second, 2050 * time.Millisecond},
		{"absurd", AttemptResult{Status: 503, HasRetryAfter: true, RetryAfter: 1 << 60}, MaxRetryAfter,
			MaxRetryAfter + 50*time.Millisecond},
		{"negative", AttemptResult{Status: 503, HasRetryAfter: true, RetryAfter: -time.Hour},
			0, 50 * time.Millisecond},
		{"none", AttemptResult{Status: 503}, 0, 50 * time.Millisecond},
	} {
		seen := map[time.Duration]bool{}
		for range 50 {
			p := newPlan(t, testConfig())
			p.random.Uint64()
			for range len(seen) {
				p.random.Float64()
			}
			j, _ := p.Begin(start, onceClass, start.Add(time.Hour))
			s := p.AttemptEnded(start, start, j, c.result)
			wait := s.At.Sub(start)
			if s.Verdict != Pending || wait < c.minWait || wait > c.maxWait {
				t.Fatalf("Retry-After %s: got verdict %v with a wait of %v, want Pending with a wait of %v to %v",
					c.name, s.Verdict, wait, c.minWait, c.maxWait)
			}
			seen[wait] = true
		}
		if len(seen) < 10 {
			t.Errorf("Retry-After %s: got the waits %v from 50 jobs, want at least 10 different waits", c.name, seen)
		}
	}
}

// TestBudget refuses every attempt of 1,000 jobs. The retry budget must allow one retry for every ten jobs. A
// job without a retry must end as refused, with the time at which the caller may submit it again.
func TestBudget(t *testing.T) {
	p := newPlan(t, testConfig())
	retries := 0
	for range 1000 {
		j, s := p.Begin(start, safeClass, start.Add(time.Hour))
		for s.Verdict == Pending {
			s = p.AttemptEnded(start, start, j, AttemptResult{Status: 503, HasRetryAfter: true,
				RetryAfter: time.Second})
			if s.Verdict == Pending {
				retries++
				s = p.Start(s.At, j)
			} else if s.Verdict != Refused || s.At.Before(start.Add(time.Second)) {
				t.Fatalf("%+v", s)
			}
		}
	}
	if retries < 100 || retries > 101 {
		t.Errorf("got %d retries of 1,000 refused jobs with a retry budget of 0.1, want 100 or 101", retries)
	}
}

// TestSchedulerSubsets checks that a client with one job at a time uses one scheduler, that 200 such clients
// spread over all schedulers, and that a client with 120 concurrent jobs uses all schedulers.
func TestSchedulerSubsets(t *testing.T) {
	cfg := testConfig()
	cfg.Schedulers = 6
	total := make([]int, cfg.Schedulers)
	for seed := range uint64(200) {
		p, _ := New(cfg, seed)
		used := map[int]bool{}
		for range 50 {
			j, s := p.Begin(start, onceClass, start.Add(time.Hour))
			used[s.Scheduler] = true
			p.AttemptEnded(start, start, j, AttemptResult{Status: 200})
		}
		if len(used) != 1 {
			t.Fatalf("client with one job at a time: got %d schedulers in use, want 1", len(used))
		}
		for i := range used {
			total[i]++
		}
	}
	for i, n := range total {
		if n < 15 || n > 55 {
			t.Errorf("scheduler %d of 6 is used by %d of 200 clients, want 15 to 55 clients (33 on average)", i, n)
		}
	}
	p, _ := New(cfg, 1)
	used := map[int]int{}
	for range 120 {
		_, s := p.Begin(start, onceClass, start.Add(time.Hour))
		used[s.Scheduler]++
	}
	for i := range cfg.Schedulers {
		if used[i] < 10 {
			t.Errorf("120 concurrent jobs: got the numbers of jobs by scheduler %v, want at least 10 each", used)
			break
		}
	}
}

// runFirstAttempts runs the first attempts of n jobs. Attempts at the given scheduler, which must be the one
// that the client prefers, end with the result failure, and all other attempts are served. runFirstAttempts
// returns the number of attempts at the given scheduler.
func runFirstAttempts(p *Plan, at time.Time, n, scheduler int, failure AttemptResult) (attempts int) {
	for range n {
		j, s := p.Begin(at, safeClass, at.Add(time.Hour))
		result := AttemptResult{Status: 200}
		if s.StartNow && s.Scheduler == scheduler {
			attempts++
			result = failure
		}
		p.AttemptEnded(at, at, j, result)
		p.Cancel(j)
	}
	return attempts
}

// TestEjection checks that a scheduler is ejected after three attempts without a response, or after one
// refused connection, and that a single attempt probes the scheduler after the ejection. An attempt that
// fails because of the client's own limits must not eject a scheduler.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		result AttemptResult
		want   int
	}{{AttemptResult{Outcome: ConnectFailed}, 1}, {AttemptResult{Outcome: NoResponse}, 3},
		{AttemptResult{Outcome: Malformed}, 3}} {
		p := newPlan(t, testConfig())
		if got := runFirstAttempts(p, start, 100, p.preference[0], c.result); got != c.want || p.Available() != 2 {
			t.Errorf(
				"result %+v: got %d attempts until ejection, want 1 if refused, else 3; %d available schedulers, want 2",
				c.result, got, p.Available())
		}
		later := start.Add(2 * time.Second)
		probes := 0
		var probe *Job
		for range 100 {
			if j, s := p.Begin(later, safeClass, later.Add(time.Hour)); s.Scheduler == p.preference[0] {
				probes++
				probe = j
			}
		}
		if probes != 1 {
			t.Errorf("got %d concurrent attempts at a scheduler whose ejection is over, want 1 probe", probes)
			continue
		}
		// A refusal is a response, so a refused probe ends the ejection of the scheduler.
		if p.AttemptEnded(later, later, probe, AttemptResult{Status: 503}); p.Available() != 3 {
			t.Error("scheduler is still ejected after a response to the probe, want the scheduler available")
		}
	}
	// A scheduler that refuses a job and closes the connection is about to shut down. The scheduler must be
	// ejected at once.
	p := newPlan(t, testConfig())
	if got := runFirstAttempts(p, start, 100, p.preference[0],
		AttemptResult{Status: 503, ConnectionClose: true}); got != 1 || p.Available() != 2 {
		t.Errorf(
			"scheduler shuts down: got %d attempts until its ejection, %d schedulers available, want 1 and 2 of 3",
			got, p.Available())
	}
	p = newPlan(t, testConfig())
	if got := runFirstAttempts(p, start, 100, p.preference[0],
		AttemptResult{Outcome: IdleClosed}); got != 1 || p.Available() != 2 {
		t.Errorf(
			"idle connections closed: got %d attempts until the ejection, %d schedulers available, want 1 and 2 of 3",
			got, p.Available())
	}
	for range 9 { // closed idle connections must not eject the last available scheduler
		for i := range p.schedulers {
			p.recordOutcome(start, i, AttemptResult{Outcome: IdleClosed})
		}
	}
	if p.Available() != 1 {
		t.Errorf("all 3 schedulers closed their idle connections: got %d available, want 1, as the last stays",
			p.Available())
	}
	p = newPlan(t, testConfig())
	if got := runFirstAttempts(p, start, 100, p.preference[0],
		AttemptResult{Outcome: ClientLimited}); got < 10 || p.Available() != 3 {
		t.Errorf(
			"failures by the client's limits: got an ejection or %d attempts, want no ejection, at least 10 attempts",
			got)
	}
}

// TestRefusedConnectionIsNoAttempt checks that a job goes to another scheduler at once if a scheduler refuses
// the connection. The job was not submitted, so the next attempt must neither be marked as a retry nor use
// the retry budget.
func TestRefusedConnectionIsNoAttempt(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget, cfg.MaxTokens = 0, 0
	for i := range cfg.Classes {
		cfg.Classes[i].MaxAttempts = 1
	}
	p := newPlan(t, cfg)
	j, s := p.Begin(start, onceClass, start.Add(5*time.Second))
	for n := range cfg.Schedulers {
		if !s.StartNow || s.Retry || p.InFlight() != 1 {
			t.Fatalf(
				"after %d refused connections: got step %+v, %d attempts in flight, want 1 attempt not marked as a retry",
				n, s, p.InFlight())
		}
		if s = p.AttemptEnded(start, start, j, AttemptResult{Outcome: ConnectFailed}); s.Verdict != Pending ||
			!s.At.Equal(start) {
			t.Fatalf("%+v", s)
		}
		s = p.Start(start, j)
	}
	if !s.AllEjected || p.Available() != 0 {
		t.Errorf(
			"all schedulers refuse connections: got step %+v, %d schedulers available, want AllEjected and 0",
			s, p.Available())
	}
	// If the job may have run in an earlier attempt, a refused connection must not end the job as refused.
	p = newPlan(t, testConfig())
	j, _ = p.Begin(start, safeClass, start.Add(time.Second))
	s = p.AttemptEnded(start, start, j, AttemptResult{Outcome: NoResponse})
	for n := 0; n < 9 && s.Verdict == Pending; n++ {
		if s = p.Start(s.At, j); s.StartNow {
			s = p.AttemptEnded(s.At, s.At, j, AttemptResult{Outcome: ConnectFailed})
		}
	}
	if s.Verdict != Unknown {
		t.Errorf("refused connections after an attempt that may have run: got step %+v, want verdict Unknown", s)
	}
}

// TestEjectionFloor checks that missing responses eject at most half of the schedulers and that refused
// connections may eject all of them. If all schedulers are ejected, a job must wait until a scheduler may be
// available, or end as refused at once if the job's deadline is earlier.
func TestEjectionFloor(t *testing.T) {
	p := newPlan(t, testConfig())
	for i := range p.schedulers {
		for range 5 {
			p.recordOutcome(start, i, AttemptResult{Outcome: NoResponse})
		}
	}
	if n := p.Available(); n != 2 {
		t.Errorf("no scheduler responds: got %d of 3 schedulers available, want 2, as at most half are ejected", n)
	}
	for i := range p.schedulers {
		p.recordOutcome(start, i, AttemptResult{Outcome: ConnectFailed})
	}
	if n := p.Available(); n != 0 {
		t.Errorf("all schedulers refuse connections: got %d schedulers available, want 0", n)
	}
	j, s := p.Begin(start, onceClass, start.Add(5*time.Second))
	if s.Verdict != Pending || s.StartNow || !s.AllEjected || s.At.Before(start.Add(400*time.Millisecond)) {
		t.Fatalf("all schedulers ejected: got step %+v, want a wait of at least 400 ms with AllEjected", s)
	}
	if s = p.Start(s.At, j); !s.StartNow {
		t.Errorf("got step %+v after the wait for an ejected scheduler, want an attempt now as a probe", s)
	}
	if _, s = p.Begin(start, onceClass, start.Add(100*time.Millisecond)); s.Verdict != Refused || s.At.IsZero() {
		t.Errorf(
			"deadline before the end of all ejections: got step %+v, want verdict Refused with a time to submit again",
			s)
	}
	// All clients lose a failed scheduler at the same moment, so the ends of their ejections must be spread.
	seen := map[time.Time]bool{}
	for seed := range uint64(50) {
		p, _ := New(testConfig(), seed)
		p.recordOutcome(start, 0, AttemptResult{Outcome: ConnectFailed})
		seen[p.schedulers[0].ejectedUntil.Truncate(50*time.Millisecond)] = true
	}
	if len(seen) < 10 {
		t.Errorf("got ejections of 50 clients that end in %d different intervals of 50 ms, want at least 10",
			len(seen))
	}
}

// TestSchedulerThatRefusesAll checks that a scheduler that refuses all jobs at once does not attract most
// jobs, although it has few attempts in flight, and that a retry goes to another scheduler.
func TestSchedulerThatRefusesAll(t *testing.T) {
	p := newPlan(t, testConfig())
	refusal := AttemptResult{Status: 503, HasRetryAfter: true, RetryAfter: time.Second}
	if got := runFirstAttempts(p, start, 1000, p.preference[0], refusal); got > 200 {
		t.Errorf("got %d of 1,000 jobs at the scheduler that refuses all jobs, want at most 200", got)
	}
	// A retry must go to another scheduler.
	for range 50 {
		j, s := p.Begin(start, safeClass, start.Add(time.Hour))
		previous := s.Scheduler
		if s = p.AttemptEnded(start, start, j, AttemptResult{Status: 503}); s.Verdict == Pending {
			if s = p.Start(s.At, j); s.Scheduler == previous {
				t.Error("retry went to the scheduler that refused the job, want another scheduler")
			}
			p.Cancel(j)
		}
	}
}

// TestInvalidSettings checks that New rejects an invalid configuration with the name of the field.
func TestInvalidSettings(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"schedulers":        func(c *Config) { c.Schedulers = 0 },
		"classes: none":     func(c *Config) { c.Classes = nil },
		"budget":            func(c *Config) { c.RetryBudget = 1.5 },
		"max tokens":        func(c *Config) { c.MaxTokens = -1 },
		"backoff":           func(c *Config) { c.MaxBackoff = time.Millisecond },
		"eject":             func(c *Config) { c.EjectAfterFailures = 0 },
		"classes[0].tries":  func(c *Config) { c.Classes[0].MaxAttempts = 0 },
		"classes[1].effect": func(c *Config) { c.Classes[1].Effect = 9 },
		"classes[2].window": func(c *Config) { c.Classes[2].Window = 0 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("invalid configuration: got error %v, want an error that starts with %s", err, want)
		}
	}
}

// TestProperties runs random sequences of events. No attempt may start at or after the job's deadline or
// exceed the class's maximum number of attempts, a job that may have run may be repeated only if its class
// allows a repeat, the retries must stay within the budget, and the plan must count the attempts in flight
// correctly.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Schedulers = rapid.IntRange(1, 4).Draw(t, "schedulers")
		p, err := New(cfg, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		type trackedJob struct {
			job             *Job
			class           int
			deadline        time.Time
			attemptStart    time.Time
			writeDeadline   time.Time
			attempts        int
			firstMayHaveRun time.Time
		}
		now, newJobs, retries := start, 0, 0
		var inFlight []*trackedJob
		recordStep := func(tracked *trackedJob, s Step) bool {
			for s.Verdict == Pending && !s.StartNow {
				if s.At.Before(now) {
					t.Fatal("plan returned a wait for the next attempt that ends in the past, want an end now or later")
				}
				s = p.Start(s.At, tracked.job) // during the wait, the test plays no events of other jobs
			}
			if s.Verdict != Pending {
				return false
			}
			tracked.attempts++
			tracked.attemptStart, tracked.writeDeadline = s.At, s.WriteDeadline
			class := cfg.Classes[tracked.class]
			switch {
			case !s.At.Before(tracked.deadline):
				t.Fatalf("got an attempt that starts %v after the job's deadline, want a start before the deadline",
					s.At.Sub(tracked.deadline))
			case s.At.Before(now):
				t.Fatal("plan returned an attempt that starts in the past, want a start now or later")
			case tracked.attempts > class.MaxAttempts:
				t.Fatalf("got attempt %d of a job, want no more attempts than the job's class allows", tracked.attempts)
			case s.Retry != (tracked.attempts > 1):
				t.Fatal("first attempt is marked as a retry, or a later attempt is not, want only later attempts marked")
			case s.Scheduler < 0 || s.Scheduler >= cfg.Schedulers:
				t.Fatalf("got scheduler %d, want an index of a configured scheduler", s.Scheduler)
			}
			if !tracked.firstMayHaveRun.IsZero() && (class.Effect <= Rack || class.Effect == Anywhere &&
				s.At.Sub(tracked.firstMayHaveRun) >= class.Window) {
				t.Fatalf(
					"class with effect %d, job may have run: got an attempt that effect or window forbids, want none",
					class.Effect)
			}
			// The rules on repeats and on the deadline hold at the time of the write, not just at the start.
			latestWrite := tracked.deadline
			if !tracked.firstMayHaveRun.IsZero() && class.Effect == Anywhere {
				latestWrite = earliest(latestWrite, tracked.firstMayHaveRun.Add(class.Window))
			}
			if !s.WriteDeadline.Equal(latestWrite) || !s.At.Before(s.WriteDeadline) {
				t.Fatalf("got an attempt from %v with write deadline %v, want write deadline %v, and a start before it",
					s.At.Sub(start), s.WriteDeadline.Sub(start), latestWrite.Sub(start))
			}
			if tracked.attempts > 1 {
				retries++
			}
			return true
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if n := rapid.IntRange(0, len(inFlight)).Draw(t, "which"); n == len(inFlight) {
				tracked := &trackedJob{class: rapid.IntRange(0, 3).Draw(t, "class")}
				tracked.deadline = now.Add(time.Duration(rapid.IntRange(-1, 3000).Draw(t, "within")) * time.Millisecond)
				newJobs++
				var s Step
				if tracked.job, s = p.Begin(now, tracked.class, tracked.deadline); recordStep(tracked, s) {
					inFlight = append(inFlight, tracked)
				}
				continue
			} else if tracked := inFlight[n]; rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				p.Cancel(tracked.job)
				inFlight = append(inFlight[:n:n], inFlight[n+1:]...)
			} else {
				now = latest(now, tracked.attemptStart)
				// The attempt may have waited for its connection until its write deadline.
				untilLatestWrite := earliest(now, tracked.writeDeadline).Sub(tracked.attemptStart)
				sentAt := tracked.attemptStart.Add(time.Duration(rapid.Int64Range(0,
					int64(untilLatestWrite)).Draw(t, "wait")))
				r := AttemptResult{Outcome: Outcome(rapid.IntRange(0, int(Malformed)).Draw(t, "proof"))}
				if r.Outcome == Answered {
					r.Status = rapid.SampledFrom([]int{200, 503, 503, 429, 500, 400, 302}).Draw(t, "status")
					r.HasRetryAfter = rapid.Bool().Draw(t, "advised")
					r.RetryAfter = time.Duration(rapid.Int64().Draw(t, "advice"))
				}
				if mayHaveRun(r) && tracked.firstMayHaveRun.IsZero() {
					tracked.firstMayHaveRun = sentAt
				}
				if r.Outcome == ConnectFailed || r.Outcome == IdleClosed {
					if tracked.attempts--; tracked.attempts > 0 {
						retries--
					}
				}
				s := p.AttemptEnded(now, sentAt, tracked.job, r)
				if s.Verdict == Refused && !tracked.firstMayHaveRun.IsZero() {
					t.Fatal("got verdict Refused for a job that may have run, want Unknown")
				}
				if !recordStep(tracked, s) {
					inFlight = append(inFlight[:n:n], inFlight[n+1:]...)
				}
			}
		}
		if limit := 1 + cfg.RetryBudget*float64(newJobs); float64(retries) > limit {
			t.Fatalf("got %d retries for %d new jobs, want at most the %v retries that the retry budget allows",
				retries, newJobs, limit)
		}
		if p.InFlight() != len(inFlight) {
			t.Fatalf("the plan: want %d attempts in flight, as the test counts, got %d",
				len(inFlight), p.InFlight())
		}
	})
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
