package main

import (
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["queue"] = runQueue }

// toldSlack is by how much the time that a worker is told may exceed what is left to the client.
const toldSlack = 150 * time.Millisecond

// silentClients is the number of clients that connect and say nothing.
const silentClients = 950

// shortDeadline is the deadline of the class post-reading in this case.
const shortDeadline = 2 * time.Second

// runQueue lets hundreds of clients connect and say nothing. Good clients connect right behind them, and wait
// in the queue of the scheduler's listener.
func runQueue(t *trial) error {
	set := settings()
	set["grades"].([]map[string]any)[0]["deadline"] = shortDeadline.Microseconds()
	s, err := t.newScheduler("n1", set, limits(64, 256))
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
	t.connectSilently(s.addr)
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]*request{}
	for range 10 {
		group.Go(func() {
			q := newRequest(shortDeadline, 2500)
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

// connectSilently opens the connections of the silent clients, which stay until the scheduler closes them.
// Without the disruption they leave at once.
func (t *trial) connectSilently(addr string) {
	began := time.Now()
	opened := 0
	for range silentClients {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		opened++
		if !t.trouble {
			conn.Close()
			continue
		}
		go func() {
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(30 * time.Second))
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	t.note("%d silent clients have connected within %.3f s", opened, time.Since(began).Seconds())
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
