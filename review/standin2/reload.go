package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload"] = runReload }

// runReload replaces the configuration twice in quick succession. The second discovery service is slow to
// answer; its list, which arrives after the second change, lacks a worker.
func runReload(t *trial) error {
	s, err := t.newScheduler("n1", settings(), limits(192, 1024))
	if err != nil {
		return err
	}
	workers, targets, err := t.startWorkers(s.addr, "s-0badcafe", "s-5be2a07c")
	if err != nil {
		return err
	}
	removed := workers[0]
	d1, err := t.newDiscovery("d1", 41, 0, targets...)
	if err != nil {
		return err
	}
	d2, err := t.newDiscovery("d2", 50, time.Second, targets[1])
	if err != nil {
		return err
	}
	d3, err := t.newDiscovery("d3", 50, 2900*time.Millisecond, targets[1])
	if err != nil {
		return err
	}
	if err := s.run(d1.addr(), nil); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond) // SIGHUP never comes in the first second.
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() { t.steadyClients(s.addr, &group, stop) })
	time.Sleep(time.Second)
	if err := t.reload(s, d1, d2); err != nil {
		return err
	}
	if t.trouble {
		time.Sleep(500 * time.Millisecond)
		if err := t.reload(s, d2, d3); err != nil {
			return err
		}
	}
	told, err := d2.awaitTold(3 * time.Second)
	if err != nil {
		return err
	}
	// The removed worker's machine is switched off once the worker must have finished what it had.
	time.Sleep(time.Until(told.Add(1700 * time.Millisecond)))
	removed.end()
	time.Sleep(3500 * time.Millisecond)
	close(stop)
	group.Wait()
	t.judgeRemoved(removed, told)
	return nil
}

// judgeRemoved checks that no attempt reached a worker after its grace, and names the jobs that were lost.
func (t *trial) judgeRemoved(removed *worker, told time.Time) {
	grace := 500*time.Millisecond + limitSlack
	for _, a := range removed.received() {
		if after := a.at.Sub(told); after > grace {
			t.breaks("worker %s got %s %.3f s after discovery had written a whole list without it", a.worker, a.id,
				after.Seconds())
		}
	}
	for _, id := range removed.lost() {
		t.breaks("job %s was lost with worker %s, %.3f s or more after its grace", id, removed.uid,
			(1700*time.Millisecond - grace).Seconds())
	}
}

// reload names another discovery service in the configuration and sends SIGHUP.
func (t *trial) reload(s *scheduler, from, to *discovery) error {
	s.config["discovery"] = to.addr()
	if err := s.writeConfig(); err != nil {
		return err
	}
	t.note("new configuration: discovery %s instead of %s", to.name, from.name)
	if err := s.signal(syscall.SIGHUP); err != nil {
		return err
	}
	from.moveAway()
	return nil
}

// steadyClients hands in 20 short jobs a second, each on a connection of its own.
func (t *trial) steadyClients(addr string, group *sync.WaitGroup, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			group.Go(func() { t.singleClient(addr, newRequest(5*time.Second, 400)) })
		}
	}
}

// end plays the end of the worker's process: its connections break, and the agent of its machine tells of
// each job that was lost.
func (w *worker) end() {
	w.trial.note("worker %s ends", w.uid)
	w.mu.Lock()
	lost := w.jobs
	w.jobs = map[string]chan struct{}{}
	for id, cancelled := range lost {
		close(cancelled)
		w.killed = append(w.killed, id)
	}
	w.mu.Unlock()
	for scheduler, server := range w.servers {
		_ = server.Close()
		for id := range lost {
			go w.callback(scheduler, map[string]any{"id": id, "from": w.uid, "state": "lost"})
		}
	}
}

// lost returns the jobs that the worker held when it ended.
func (w *worker) lost() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.killed...)
}

// received returns the attempts that have come so far.
func (w *worker) received() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}
