package plan

import "time"

// schedulerState is the client's view of one scheduler.
type schedulerState struct {
	inFlight            int     // number of this client's attempts that are in flight at the scheduler
	consecutiveFailures int     // number of attempts without a response since the last response
	refusalRate         float64 // moving average of the fraction of responses that were refusals, from 0 to 1
	// ejectionDuration is the nominal duration of the scheduler's last ejection, without the random variation.
	// The field is zero after a response, so that the next ejection starts from the base duration.
	ejectionDuration time.Duration
	ejectedUntil     time.Time // end of the current ejection; zero if the scheduler is not ejected
	// probing reports that the ejection time has passed and that a single attempt is in flight to test whether
	// the scheduler responds again.
	probing bool
}

const (
	// refusalRateSmoothing is the weight of the newest response in the moving average refusalRate.
	refusalRateSmoothing = 0.2
	// refusalLoadWeight raises the estimated load of a scheduler that refuses jobs: a refusal rate of 1
	// multiplies the load by 1 + refusalLoadWeight. A scheduler that refuses all jobs answers quickly and has
	// few attempts in flight; without the weight, such a scheduler would look idle and attract all jobs. If all
	// schedulers refuse the same fraction of jobs, the weight does not change the choice among them.
	refusalLoadWeight = 8
	// maxPreferredLoad is the load of a scheduler, as schedulerState.load estimates the load in attempts in
	// flight, above which the client also considers schedulers further down in its order of preference. Below
	// this load, the client uses only the first available schedulers of that order: connections are reused only
	// if jobs go to the same schedulers, and a scheduler has too few sockets for a connection from every client.
	maxPreferredLoad = 4
	// recheckSpreadDivisor determines the random delay of jobs that wait until an ejection ends: the delay is at
	// most the base ejection duration divided by recheckSpreadDivisor. The random delay keeps the jobs from
	// starting at the same moment.
	recheckSpreadDivisor = 4
)

// load estimates how busy the scheduler is: the number of this client's attempts in flight at the scheduler,
// including the attempt to be placed, multiplied by a factor that grows with refusalRate.
func (s *schedulerState) load() float64 {
	return float64(s.inFlight+1) * (1 + refusalLoadWeight*s.refusalRate)
}

// available reports whether the scheduler is not ejected.
func (s *schedulerState) available() bool { return s.ejectedUntil.IsZero() }

// Available returns the number of schedulers that are not ejected.
func (p *Plan) Available() int { return len(p.schedulers) - p.ejectedCount() }

// ejectedCount returns the number of schedulers that are ejected or being probed.
func (p *Plan) ejectedCount() int {
	n := 0
	for i := range p.schedulers {
		if !p.schedulers[i].available() {
			n++
		}
	}
	return n
}

// InFlight returns the number of attempts that are in flight at all schedulers together.
func (p *Plan) InFlight() int {
	n := 0
	for i := range p.schedulers {
		n += p.schedulers[i].inFlight
	}
	return n
}

// recordOutcome updates the state of a scheduler after an attempt at the scheduler ended with result r.
func (p *Plan) recordOutcome(now time.Time, number int, r AttemptResult) {
	s := &p.schedulers[number]
	switch r.Outcome {
	case ClientLimited:
		// After ClientLimited, the scheduler's state does not change: the client's own limits caused the failure.
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

// recordResponse marks a scheduler that sent a response as healthy and ends its ejection, even if the
// response is a refusal. A refusal raises refusalRate, so that other schedulers are preferred. A refusal that
// closes the connection means that the scheduler is shutting down or has too few sockets, and ejects the
// scheduler.
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

// recordFailure counts an attempt without a response, and ejects the scheduler after EjectAfterFailures such
// attempts in a row, or after a single attempt that was a probe. A scheduler that refuses connections is
// ejected at once, however many other schedulers are ejected.
func (p *Plan) recordFailure(now time.Time, s *schedulerState, r AttemptResult) {
	s.consecutiveFailures++
	if r.Outcome != ConnectFailed {
		if s.consecutiveFailures < p.cfg.EjectAfterFailures && !s.probing {
			return
		}
		if s.available() && !p.mayEjectAnother() {
			// More than half of the schedulers would be ejected. Missing responses are doubtful evidence of a failed
			// scheduler, and few alternatives would remain.
			return
		}
	}
	if now.Before(s.ejectedUntil) {
		return // the scheduler is already ejected, and this attempt is from before the ejection
	}
	p.eject(now, s)
}

// mayEjectAnother reports whether at most half of the schedulers would be ejected after one more ejection.
func (p *Plan) mayEjectAnother() bool { return 2*(p.ejectedCount()+1) <= len(p.schedulers) }

// eject ejects a scheduler and doubles its ejection duration. The actual duration of the ejection is random,
// between half and one and a half times the ejection duration: all clients lose a failed scheduler at the
// same moment, and they must not all send a probe to that scheduler at the same moment.
func (p *Plan) eject(now time.Time, s *schedulerState) {
	s.ejectionDuration = min(max(2*s.ejectionDuration, p.cfg.BaseEjection), p.cfg.MaxEjection)
	s.ejectedUntil = now.Add(s.ejectionDuration/2 + p.jitter(s.ejectionDuration))
}

// jitter returns a random duration between zero and limit.
func (p *Plan) jitter(limit time.Duration) time.Duration {
	return time.Duration(p.random.Float64() * float64(limit))
}

// pickScheduler returns the index of the scheduler for the next attempt. It avoids the scheduler of the job's
// last attempt if another scheduler is available. A scheduler whose ejection time has passed gets a single
// attempt as a probe, if no available scheduler comes before it in the order of preference. If no scheduler
// can be used, pickScheduler returns -1 and the time at which a scheduler may be available.
func (p *Plan) pickScheduler(now time.Time, last int) (number int, availableAt time.Time) {
	var candidates []int
	for _, number := range p.preference {
		s := &p.schedulers[number]
		switch {
		case s.available():
			if number != last {
				candidates = append(candidates, number)
			}
		// The ejection time has passed, and the client prefers no available scheduler to this scheduler: probe this
		// scheduler.
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

// pickByLoad picks a scheduler from the candidates, which are in order of preference. It starts with the
// first candidate alone and doubles the number of candidates that it considers as long as the picked
// scheduler's load exceeds maxPreferredLoad.
func (p *Plan) pickByLoad(candidates []int) int {
	for subset := 1; ; subset *= 2 {
		best := p.lessLoadedOfTwo(candidates[:min(subset, len(candidates))])
		if subset >= len(candidates) || p.schedulers[best].load() <= maxPreferredLoad {
			return best
		}
	}
}

// lessLoadedOfTwo draws two schedulers at random, with replacement, and returns the scheduler with the lower
// load.
func (p *Plan) lessLoadedOfTwo(from []int) int {
	a, b := from[p.random.IntN(len(from))], from[p.random.IntN(len(from))]
	if p.schedulers[b].load() < p.schedulers[a].load() {
		return b
	}
	return a
}
