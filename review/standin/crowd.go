package main

import (
	"bufio"
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// badRequests is the number of requests that bad clients have open, below a third of 640 descriptors.
	badRequests = 210
	// restingClients is the number of usual clients that have had one job each and keep their connection.
	restingClients = 260
	crowdTime      = 20 * time.Second
	// answerSlack is how long after its time a request may still be answered.
	answerSlack = 550 * time.Millisecond
)

// crowdCase plays clients that send requests without an id, the same again as soon as it is turned away,
// while other clients rest. It checks that each request of the usual clients is answered in time.
func crowdCase(r *rig, trouble bool) bool {
	addr := r.freeAddr()
	run := func(j *job) string {
		j.sleep(100 * time.Millisecond)
		return "done"
	}
	var targets []target
	for i, uid := range []string{"s-00000001", "s-00000002", "s-00000003", "s-00000004"} {
		targets = append(targets, newWorker(r, uid, func() string { return addr }, run).target(i/2))
	}
	d := newDiscovery(r, targets...)
	settings := config("n1", addr, d.addr, 0, 1,
		class("post-reading", "at_most_once", "all", 200000, 5000000, 5000000))
	settings["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 640}
	p := r.startScheduler("n1", addr, settings)
	var clients sync.WaitGroup
	var badAnswers atomic.Int64
	stop := make(chan struct{})
	resting := restingClients
	if !trouble {
		resting += badRequests // so that places for clients are as short as with the bad clients
	}
	for range resting {
		clients.Go(func() { restingClient(p, stop) })
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		for range badRequests {
			clients.Go(func() { rejectedClient(p, stop, &badAnswers) })
		}
	}
	time.Sleep(time.Second)
	late := crowdUsual(r, p)
	close(stop)
	clients.Wait()
	r.logf("bad clients answered %d times; usual requests late or unanswered: %d", badAnswers.Load(), late)
	r.copyLog(p)
	return late == 0
}

// restingClient hands in one job, and keeps its connection until the scheduler ends it.
func restingClient(p *process, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * jobTime))
	id := newID()
	_, err = conn.Write(encode(p.addr, "POST", "/post-reading/17",
		jobHeader(id), []byte("meter 17")))
	reader := bufio.NewReader(conn)
	if err == nil {
		_, err = readAnswer(reader)
	}
	if err != nil {
		return
	}
	ended := make(chan struct{})
	conn.SetDeadline(time.Time{})
	go func() {
		defer close(ended)
		_, _ = reader.ReadByte()
	}()
	select {
	case <-stop:
	case <-ended:
	}
}

// rejectedClient sends a request without an id, and the same again as soon as it is answered.
func rejectedClient(p *process, stop <-chan struct{}, answers *atomic.Int64) {
	header := jobHeader("")
	delete(header, "X-Txn")
	raw := encode(p.addr, "POST", "/post-reading/17", header, nil)
	for range math.MaxInt32 {
		conn, err := net.DialTimeout("tcp", p.addr, time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for err == nil {
			select {
			case <-stop:
				conn.Close()
				return
			default:
			}
			conn.SetDeadline(time.Now().Add(2 * crowdTime))
			if _, err = conn.Write(raw); err == nil {
				if _, err = readAnswer(reader); err == nil {
					answers.Add(1)
				}
			}
		}
		conn.Close()
	}
}

// crowdUsual hands in usual jobs at a steady rate, each on a new connection, and returns how many of those
// that were written completely were answered late or not at all.
func crowdUsual(r *rig, p *process) int64 {
	var open sync.WaitGroup
	var late atomic.Int64
	for end := time.Now().Add(crowdTime - jobTime); time.Now().Before(end); {
		open.Go(func() {
			if !usualJob(r, p) {
				late.Add(1)
			}
		})
		time.Sleep(time.Second / usualRate)
	}
	open.Wait()
	return late.Load()
}

// usualJob hands in one job. It returns false if the job was written completely and was not answered by its
// time and the slack. A connection that is closed before anything was sent on is no break.
func usualJob(r *rig, p *process) (held bool) {
	id := newID()
	conn, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		r.logf("usual client: job %s not sent: %v", id, err)
		return true
	}
	defer conn.Close()
	_, err = conn.Write(encode(p.addr, "POST", "/post-reading/17",
		jobHeader(id), []byte("meter 17")))
	if err != nil {
		r.logf("usual client: job %s not sent: %v", id, err)
		return true
	}
	written := time.Now()
	conn.SetDeadline(written.Add(jobTime + answerSlack))
	status, err := readAnswer(bufio.NewReader(conn))
	r.logf("usual client: job %s answered %d after %d ms, error %v", id, status,
		time.Since(written).Milliseconds(), err)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
