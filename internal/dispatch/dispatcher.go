package dispatch

// Step handles one event at time now, appends the resulting actions to out, and returns the extended slice.
// The time now must not decrease from call to call.
func (d *Dispatcher) Step(now Micros, e *Event, out []Action) []Action {
	d.now, d.actions, d.cachedBestSpeed = now, out, 0
	d.eventCount++
	switch e.Kind {
	case Started:
		d.startedAt = now
		if d.settings.PollEndpoints {
			if d.pollAt = d.now + d.pollJitter(); d.pollAt == d.now {
				d.pollEndpoints()
			}
		}
	case JobArrived:
		d.onJobArrived(e)
	case AttemptEnded:
		d.onAttemptEnded(e)
	case AttemptReported:
		d.onAttemptReported(e)
	case StreamStarted:
		if a := d.attempt(e); a != nil {
			a.job.streaming = true
			a.worker.markAlive(d.now)
		}
	case ClientDisconnected:
		if j := d.jobs[e.Job]; j != nil && !j.finished {
			d.closeJob(j)
		}
	case EndpointsUpdated:
		d.onEndpointsUpdated(e)
	case TimerFired:
		if e.Token != d.timerToken {
			return d.actions
		}
		d.timerDueAt = 0
		d.inspect()
	case GossipReceived:
		d.onGossip(e)
	}
	d.release()
	d.sendGossip()
	d.armTimer()
	return d.actions
}
