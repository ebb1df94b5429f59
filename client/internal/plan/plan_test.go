package plan

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	onceClass = iota
	rackClass
	anywhereClass
	safeClass
)

func testConfig() Config {
	return Config{Schedulers: 3, RetryBudget: 0.1, MaxTokens: 10, Backoff: 50 * time.Millisecond,
		MaxBackoff:         time.Second,
		EjectAfterFailures: 3, BaseEjection: time.Second, MaxEjection: 30 * time.Second,
		Classes: []Class{{Effect: Once, MaxAttempts: 3}, {Effect: Rack, MaxAttempts: 3},
			{Effect: Anywhere, Window: time.Second, MaxAttempts: 3}, {Effect: Safe, MaxAttempts: 3}}}
}

var start = time.Unix(1000, 0)

func newPlan(t testing.TB, cfg Config) *Plan {
	t.Helper()
	p, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What the outcome of an attempt means for each class: another attempt, or which verdict.
func TestAttemptOutcomes(t *testing.T) {
	retry := [4]Verdict{Pending, Pending, Pending, Pending}
	for _, c := range []struct {
		name   string
		result AttemptResult
		want   [4]Verdict // once, rack, anywhere, safe
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
				t.Fatalf("the first attempt: %+v", s)
			}
			s = p.AttemptEnded(start.Add(time.Millisecond), start, j, c.result)
			got[class] = s.Verdict
			if inFlight := p.InFlight(); inFlight != 0 {
				t.Errorf("%s: %d attempts are in flight after %v", c.name, inFlight, s.Verdict)
			}
			if s.Verdict == Pending {
				if s = p.Start(s.At, j); !s.StartNow || !s.Retry || p.InFlight() != 1 {
					t.Errorf("%s: a retry is not marked, or not counted: %+v", c.name, s)
				}
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// A refusal after an attempt that may have run proves nothing about that one.
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
		t.Errorf("got %+v, want Unknown", s)
	}
}

// Retry-After is a minimum, whatever it says; without one, waits are bounded and spread.
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
				t.Fatalf("%s: %v after %v, want %v to %v", c.name, s.Verdict, wait, c.minWait, c.maxWait)
			}
			seen[wait] = true
		}
		if len(seen) < 10 {
			t.Errorf("%s: the waits are not spread: %v", c.name, seen)
		}
	}
}

// Refusals may use up the budget: then a caller gets its refusal at once, with the time of the retry. Fresh
// jobs earn the budget again.
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
		t.Errorf("1,000 refused jobs had %d retries, want a tenth and the first", retries)
	}
}

// Clients with little load keep to one scheduler each, and all clients together spread over all schedulers;
// one with much load uses all of them.
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
			t.Fatalf("a client uses %d schedulers for one job at a time", len(used))
		}
		for i := range used {
			total[i]++
		}
	}
	for i, n := range total {
		if n < 15 || n > 55 {
			t.Errorf("scheduler %d has %d of 200 clients, want about 33", i, n)
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
			t.Errorf("120 jobs at once: %v", used)
			break
		}
	}
}

// runFirstAttempts plays the first attempts of n jobs: those at scheduler i end as fail says, others are
// served. It counts the attempts at i, which must be the one that the client prefers.
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

// A scheduler that fails is ejected after some failures, at once if it refuses connections; a single
// attempt then finds out whether it is back. A client that reaches its own limits proves nothing about it.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		result AttemptResult
		want   int
	}{{AttemptResult{Outcome: ConnectFailed}, 1}, {AttemptResult{Outcome: NoResponse}, 3},
		{AttemptResult{Outcome: Malformed}, 3}} {
		p := newPlan(t, testConfig())
		if got := runFirstAttempts(p, start, 100, p.preference[0], c.result); got != c.want || p.Available() != 2 {
			t.Errorf("%+v: %d attempts before it was ejected, %d are available", c.result, got, p.Available())
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
			t.Errorf("%d probes at once", probes)
			continue
		}
		// A refusal is a response, and so the scheduler is healthy.
		if p.AttemptEnded(later, later, probe, AttemptResult{Status: 503}); p.Available() != 3 {
			t.Error("it is still ejected")
		}
	}
	// One that refuses and closes the connection is about to end: it is ejected at once, for a moment.
	p := newPlan(t, testConfig())
	if got := runFirstAttempts(p, start, 100, p.preference[0],
		AttemptResult{Status: 503, ConnectionClose: true}); got != 1 || p.Available() != 2 {
		t.Errorf("%d jobs went to a scheduler that ends, %d are available", got, p.Available())
	}
	p = newPlan(t, testConfig())
	if got := runFirstAttempts(p, start, 100, p.preference[0],
		AttemptResult{Outcome: IdleClosed}); got != 1 || p.Available() != 2 {
		t.Errorf("%d jobs went to one that closed its connections, %d are available", got, p.Available())
	}
	for range 9 { // but never the last one
		for i := range p.schedulers {
			p.recordOutcome(start, i, AttemptResult{Outcome: IdleClosed})
		}
	}
	if p.Available() != 1 {
		t.Errorf("%d are available after all closed connections, want 1", p.Available())
	}
	p = newPlan(t, testConfig())
	if got := runFirstAttempts(p, start, 100, p.preference[0],
		AttemptResult{Outcome: ClientLimited}); got < 10 || p.Available() != 3 {
		t.Errorf("by the client's own limits a scheduler was ejected after %d attempts", got)
	}
}

// Where a scheduler refuses connections a job goes to another one at once: it was not submitted, so that
// this is no retry, neither marked nor charged to the budget.
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
			t.Fatalf("scheduler %d: %+v, %d in flight", n, s, p.InFlight())
		}
		if s = p.AttemptEnded(start, start, j, AttemptResult{Outcome: ConnectFailed}); s.Verdict != Pending ||
			!s.At.Equal(start) {
			t.Fatalf("%+v", s)
		}
		s = p.Start(start, j)
	}
	if !s.AllEjected || p.Available() != 0 {
		t.Errorf("%+v, %d are available", s, p.Available())
	}
	// An earlier attempt may have run: then a refused connection is no refusal.
	p = newPlan(t, testConfig())
	j, _ = p.Begin(start, safeClass, start.Add(time.Second))
	s = p.AttemptEnded(start, start, j, AttemptResult{Outcome: NoResponse})
	for n := 0; n < 9 && s.Verdict == Pending; n++ {
		if s = p.Start(s.At, j); s.StartNow {
			s = p.AttemptEnded(s.At, s.At, j, AttemptResult{Outcome: ConnectFailed})
		}
	}
	if s.Verdict != Unknown {
		t.Errorf("%+v, want Unknown", s)
	}
}

// At most half are ejected for missing responses; all may be for refused connections. Then jobs wait for
// one to be back, or are refused at once if that is too late for them.
func TestEjectionFloor(t *testing.T) {
	p := newPlan(t, testConfig())
	for i := range p.schedulers {
		for range 5 {
			p.recordOutcome(start, i, AttemptResult{Outcome: NoResponse})
		}
	}
	if n := p.Available(); n != 2 {
		t.Errorf("%d of 3 are available, want at least half", n)
	}
	for i := range p.schedulers {
		p.recordOutcome(start, i, AttemptResult{Outcome: ConnectFailed})
	}
	if n := p.Available(); n != 0 {
		t.Errorf("%d are available where all refuse connections", n)
	}
	j, s := p.Begin(start, onceClass, start.Add(5*time.Second))
	if s.Verdict != Pending || s.StartNow || !s.AllEjected || s.At.Before(start.Add(400*time.Millisecond)) {
		t.Fatalf("%+v, want to wait", s)
	}
	if s = p.Start(s.At, j); !s.StartNow {
		t.Errorf("no probe after the wait: %+v", s)
	}
	if _, s = p.Begin(start, onceClass, start.Add(100*time.Millisecond)); s.Verdict != Refused || s.At.IsZero() {
		t.Errorf("%+v, want to be refused at once, with a time", s)
	}
	// The ejections are spread, as all clients lose a scheduler at once.
	seen := map[time.Time]bool{}
	for seed := range uint64(50) {
		p, _ := New(testConfig(), seed)
		p.recordOutcome(start, 0, AttemptResult{Outcome: ConnectFailed})
		seen[p.schedulers[0].ejectedUntil.Truncate(50*time.Millisecond)] = true
	}
	if len(seen) < 10 {
		t.Errorf("50 clients return in %d slots of 50 ms", len(seen))
	}
}

// A scheduler that refuses everything at once looks idle: it must not attract the jobs.
func TestSchedulerThatRefusesAll(t *testing.T) {
	p := newPlan(t, testConfig())
	refusal := AttemptResult{Status: 503, HasRetryAfter: true, RetryAfter: time.Second}
	if got := runFirstAttempts(p, start, 1000, p.preference[0], refusal); got > 200 {
		t.Errorf("%d of 1,000 jobs went to it", got)
	}
	// And a retry goes to another one.
	for range 50 {
		j, s := p.Begin(start, safeClass, start.Add(time.Hour))
		previous := s.Scheduler
		if s = p.AttemptEnded(start, start, j, AttemptResult{Status: 503}); s.Verdict == Pending {
			if s = p.Start(s.At, j); s.Scheduler == previous {
				t.Error("a retry goes to the scheduler that refused")
			}
			p.Cancel(j)
		}
	}
}

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
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Whatever happens: no attempt starts at or past the deadline, none beyond the class's number, nothing that
// may have run is repeated unless its class allows it, retries keep to the budget, and nothing stays in
// flight.
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
			attempts        int
			firstMayHaveRun time.Time
		}
		now, newJobs, retries := start, 0, 0
		var inFlight []*trackedJob
		recordStep := func(tracked *trackedJob, s Step) bool {
			for s.Verdict == Pending && !s.StartNow {
				if s.At.Before(now) {
					t.Fatal("a wait ends in the past")
				}
				s = p.Start(s.At, tracked.job) // whatever happens meanwhile to others
			}
			if s.Verdict != Pending {
				return false
			}
			tracked.attempts++
			tracked.attemptStart = s.At
			class := cfg.Classes[tracked.class]
			switch {
			case !s.At.Before(tracked.deadline):
				t.Fatalf("an attempt starts %v past its deadline", s.At.Sub(tracked.deadline))
			case s.At.Before(now):
				t.Fatal("an attempt starts in the past")
			case tracked.attempts > class.MaxAttempts:
				t.Fatalf("attempt %d", tracked.attempts)
			case s.Retry != (tracked.attempts > 1):
				t.Fatal("a retry is not marked as one")
			case s.Scheduler < 0 || s.Scheduler >= cfg.Schedulers:
				t.Fatalf("scheduler %d", s.Scheduler)
			}
			if !tracked.firstMayHaveRun.IsZero() && (class.Effect <= Rack || class.Effect == Anywhere &&
				s.At.Sub(tracked.firstMayHaveRun) >= class.Window) {
				t.Fatalf("a job of effect %d that may have run is repeated", class.Effect)
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
				r := AttemptResult{Outcome: Outcome(rapid.IntRange(0, int(Malformed)).Draw(t, "proof"))}
				if r.Outcome == Answered {
					r.Status = rapid.SampledFrom([]int{200, 503, 503, 429, 500, 400, 302}).Draw(t, "status")
					r.HasRetryAfter = rapid.Bool().Draw(t, "advised")
					r.RetryAfter = time.Duration(rapid.Int64().Draw(t, "advice"))
				}
				if mayHaveRun(r) && tracked.firstMayHaveRun.IsZero() {
					tracked.firstMayHaveRun = tracked.attemptStart
				}
				if r.Outcome == ConnectFailed || r.Outcome == IdleClosed {
					if tracked.attempts--; tracked.attempts > 0 {
						retries--
					}
				}
				s := p.AttemptEnded(now, tracked.attemptStart, tracked.job, r)
				if s.Verdict == Refused && !tracked.firstMayHaveRun.IsZero() {
					t.Fatal("called refused though it may have run")
				}
				if !recordStep(tracked, s) {
					inFlight = append(inFlight[:n:n], inFlight[n+1:]...)
				}
			}
		}
		if limit := 1 + cfg.RetryBudget*float64(newJobs); float64(retries) > limit {
			t.Fatalf("%d retries of %d jobs, at most %v", retries, newJobs, limit)
		}
		if p.InFlight() != len(inFlight) {
			t.Fatalf("%d attempts are in flight, the plan counts %d", len(inFlight), p.InFlight())
		}
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
