package main

import (
	"sync"
	"time"
)

func init() { cases["queue"] = runQueue }

// toldSlack is by how much the time that a worker is told may exceed what is left to the client.
const toldSlack = 150 * time.Millisecond

// runQueue lets bad clients stop in the middle of a request and stay, until the scheduler gives them up.
// Good clients connect meanwhile, and wait in the queue of the scheduler's listener.
func runQueue(t *trial) error {
	s, err := t.newScheduler("n1", settings(), limits(64, 256))
	if err != nil {
		return err
	}
	workers, targets, err := t.startWorkers(s.addr, "s-0badcafe", "s-5be2a07c", "s-77aa0102")
	if err != nil {
		return err
	}
	d, err := t.newDiscovery("d1", 41, 0, targets...)
	if err != nil {
		return err
	}
	if err := s.run(d.addr(), nil); err != nil {
		return err
	}
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() { t.stoppingClient(s.addr) })
	}
	time.Sleep(1500 * time.Millisecond)
	var mu sync.Mutex
	sent := map[string]*request{}
	for range 10 {
		group.Go(func() {
			q := newRequest(5*time.Second, 2500)
			mu.Lock()
			sent[q.id] = q
			mu.Unlock()
			t.singleClient(s.addr, q)
		})
	}
	group.Wait()
	for _, w := range workers {
		t.judgeTold(w, sent)
	}
	return nil
}

// judgeTold checks that no attempt told its worker more time than was left to the client.
func (t *trial) judgeTold(w *worker, sent map[string]*request) {
	for _, a := range w.received() {
		q := sent[a.id]
		if q == nil {
			continue
		}
		left := q.sent.Add(q.wait).Sub(a.at)
		if a.told > max(left, 0)+toldSlack+limitSlack {
			t.breaks("worker %s was told %.3f s for %s, whose client had %.3f s left", a.worker, a.told.Seconds(),
				a.id, left.Seconds())
		}
	}
}
