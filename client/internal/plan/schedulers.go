package plan

import "time"

// schedulerState is what the client knows of one scheduler.
type schedulerState struct {
	inFlight            int     // attempts
	consecutiveFailures int     // attempts without a response
	refusalRate         float64 // the fraction of refusals among its last responses, a moving average
	ejectionDuration    time.Duration
	ejectedUntil        time.Time // zero: it is available
	probing             bool      // its ejection is over, and a single attempt finds out whether it is back
}

const (
	refusalRateSmoothing = 0.2 // of the last response in the moving average of refusals
	// refusalLoadWeight is how much a scheduler that refuses everything is overrated in its load. Without it, it
	// would look idle, as each refusal is quick, and attract all jobs. Where all schedulers refuse alike it
	// changes nothing.
	refusalLoadWeight = 8
	// maxPreferredLoad is the load of its own schedulers beyond which a client uses further ones. Below it, it
	// keeps to the first available ones in its order of preference: connections are reused only if jobs go to
	// the same schedulers, and a scheduler has too few sockets for a connection from every client.
	maxPreferredLoad = 4
	// recheckSpreadDivisor is the part of the base ejection, one in so many, over which the jobs that wait for a
	// scheduler are spread.
	recheckSpreadDivisor = 4
)

// load estimates how busy a scheduler is, in attempts.
func (s *schedulerState) load() float64 {
	return float64(s.inFlight+1) * (1 + refusalLoadWeight*s.refusalRate)
}

// available reports whether the scheduler is not ejected.
func (s *schedulerState) available() bool { return s.ejectedUntil.IsZero() }

// Available counts the schedulers that are not ejected.
func (p *Plan) Available() int { return len(p.schedulers) - p.ejectedCount() }

func (p *Plan) ejectedCount() int {
	n := 0
	for i := range p.schedulers {
		if !p.schedulers[i].available() {
			n++
		}
	}
	return n
}

// InFlight counts the attempts that are in flight.
func (p *Plan) InFlight() int {
	n := 0
	for i := range p.schedulers {
		n += p.schedulers[i].inFlight
	}
	return n
}

// recordOutcome updates what is known of a scheduler by the end of an attempt there.
func (p *Plan) recordOutcome(now time.Time, number int, r AttemptResult) {
	s := &p.schedulers[number]
	switch r.Outcome {
	case ClientLimited:
		// It says nothing about the scheduler.
	case IdleClosed:
		if s.available() && p.Available() > 1 {
			p.eject(now, s)
		}
	case Answered:
		p.recordResponse(now, s, r)
	default:
		p.recordFailure(now, s, r)
	}
}

// recordResponse takes a response as the sign of a healthy scheduler, even if it is a refusal: then others
// may be the better choice.
func (p *Plan) recordResponse(now time.Time, s *schedulerState, r AttemptResult) {
	s.consecutiveFailures, s.ejectionDuration, s.ejectedUntil = 0, 0, time.Time{}
	refused := 0.0
	if r.Refused() {
		refused = 1
	}
	s.refusalRate += refusalRateSmoothing * (refused - s.refusalRate)
	if r.Refused() && r.ConnectionClose && p.mayEjectAnother() {
		p.eject(now, s)
	}
}

// recordFailure counts an attempt without a response, and ejects the scheduler after enough of them. One that
// refuses connections is ejected at once, without regard to how many are.
func (p *Plan) recordFailure(now time.Time, s *schedulerState, r AttemptResult) {
	s.consecutiveFailures++
	if r.Outcome != ConnectFailed {
		if s.consecutiveFailures < p.cfg.EjectAfterFailures && !s.probing {
			return
		}
		if s.available() && !p.mayEjectAnother() {
			return // more than half look unhealthy: the evidence is wrong, or there is nowhere else to go
		}
	}
	if now.Before(s.ejectedUntil) {
		return // several attempts that were in flight report the same failure
	}
	p.eject(now, s)
}

// mayEjectAnother reports whether at most half of the schedulers are ejected with one more.
func (p *Plan) mayEjectAnother() bool { return 2*(p.ejectedCount()+1) <= len(p.schedulers) }

// eject ejects a scheduler for a random time around its ejection: all clients lose a scheduler at the same
// moment, and must not all return at once.
func (p *Plan) eject(now time.Time, s *schedulerState) {
	s.ejectionDuration = min(max(2*s.ejectionDuration, p.cfg.BaseEjection), p.cfg.MaxEjection)
	s.ejectedUntil = now.Add(s.ejectionDuration/2 + p.jitter(s.ejectionDuration))
}

// jitter draws a random time from zero to a limit.
func (p *Plan) jitter(limit time.Duration) time.Duration {
	return time.Duration(p.random.Float64() * float64(limit))
}

// pickScheduler chooses an available scheduler, another one than the last if it can; none is -1. One whose
// ejection is over gets a single attempt first. With none it returns when one may be available.
func (p *Plan) pickScheduler(now time.Time, last int) (number int, availableAt time.Time) {
	var candidates []int
	for _, number := range p.preference {
		s := &p.schedulers[number]
		switch {
		case s.available():
			if number != last {
				candidates = append(candidates, number)
			}
		// It would be the first choice if it were available.
		case !now.Before(s.ejectedUntil) && !s.probing && len(candidates) == 0:
			s.probing = true
			return number, now
		default:
			at := s.ejectedUntil
			if s.probing {
				at = now.Add(p.cfg.BaseEjection)
			}
			if availableAt.IsZero() || at.Before(availableAt) {
				availableAt = at
			}
		}
	}
	switch {
	case len(candidates) > 0:
		return p.pickByLoad(candidates), now
	case last >= 0 && p.schedulers[last].available():
		return last, now
	}
	return -1, availableAt.Add(p.jitter(p.cfg.BaseEjection) / recheckSpreadDivisor)
}

// pickByLoad chooses among the first candidates, and among twice as many as long as the choice is too busy.
func (p *Plan) pickByLoad(candidates []int) int {
	for subset := 1; ; subset *= 2 {
		best := p.lessLoadedOfTwo(candidates[:min(subset, len(candidates))])
		if subset >= len(candidates) || p.schedulers[best].load() <= maxPreferredLoad {
			return best
		}
	}
}

// lessLoadedOfTwo draws two schedulers and returns the less loaded one.
func (p *Plan) lessLoadedOfTwo(from []int) int {
	a, b := from[p.random.IntN(len(from))], from[p.random.IntN(len(from))]
	if p.schedulers[b].load() < p.schedulers[a].load() {
		return b
	}
	return a
}
