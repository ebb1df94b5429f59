package main

import (
	"bufio"
	"net"
	"sync"
	"time"
)

func init() { cases["pipeline"] = runPipeline }

// runPipeline sends two requests at once on each of some connections. The second one's time counts from its
// last byte, and runs out while its job runs.
func runPipeline(t *trial) error {
	s, err := t.newScheduler("n1", settings(), limits(192, 1024))
	if err != nil {
		return err
	}
	workers, targets, err := t.startWorkers(s.addr, "s-0badcafe", "s-5be2a07c")
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
	const clients = 3
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]*request{}
	for range clients {
		group.Go(func() {
			first, second := newRequest(5*time.Second, 1500), newRequest(2*time.Second, 1500)
			mu.Lock()
			sent[first.id], sent[second.id] = first, second
			mu.Unlock()
			t.pipelineClient(s.addr, first, second)
		})
	}
	group.Wait()
	for _, w := range workers {
		t.judgeTold(w, sent)
	}
	return nil
}

// pipelineClient hands in two requests on one connection: both at once, or without the disruption one after
// the other.
func (t *trial) pipelineClient(addr string, first, second *request) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.note("client could not connect: %v", err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	if t.trouble {
		err = t.send(conn, first, second)
	} else {
		err = t.send(conn, first)
	}
	if err != nil {
		t.note("client could not send: %v", err)
		return
	}
	t.judgeAnswer(first, t.answer(reader, first))
	if !t.trouble {
		if err := t.send(conn, second); err != nil {
			t.note("client could not send: %v", err)
			return
		}
	}
	t.judgeAnswer(second, t.answer(reader, second))
}
