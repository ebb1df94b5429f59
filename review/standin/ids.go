package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	idsMemoryMB = 64 // the limit that the configuration states
	idsTime     = 100 * time.Second
	// badConnections is below a third of the scheduler's 640 descriptors.
	badConnections = 200
	usualRate      = 4 // jobs of the usual clients a second
)

// idsCase plays clients that send the same again, with a new id, as soon as it is turned away. The stand-in
// for the platform kills the scheduler when its memory exceeds the limit of its configuration.
func idsCase(r *rig, trouble bool) bool {
	addr := r.freeAddr()
	run := func(j *job) string {
		j.sleep(400 * time.Millisecond)
		return "done"
	}
	var targets []target
	for i := range 4 {
		w := newWorker(r, fmt.Sprintf("s-%08x", i+1), func() string { return addr }, run)
		w.quiet = trouble // there are too many jobs of the bad clients to record each
		targets = append(targets, w.target(i/2))
	}
	d := newDiscovery(r, targets...)
	settings := config("n1", addr, d.addr, 0, 1,
		class("post-reading", "at_most_once", "all", 200000, 5000000, 5000000),
		class("district-batch", "deduplicated", "cell", 500000, 20000000, 30000000))
	settings["limits"] = map[string]any{"cores": 1.0, "memory_mb": idsMemoryMB, "sockets": 640}
	p := r.startScheduler("n1", addr, settings)
	var clients sync.WaitGroup
	var unanswered, badAnswers atomic.Int64
	stop := make(chan struct{})
	clients.Go(func() { usualClients(r, p, stop, &unanswered) })
	if trouble {
		for range badConnections {
			clients.Go(func() { badClient(p, stop, &badAnswers) })
		}
	}
	held := watchMemory(r, p, &badAnswers)
	close(stop)
	clients.Wait()
	r.logf("requests of usual clients without an answer: %d", unanswered.Load())
	return held && unanswered.Load() == 0
}

// watchMemory records the memory of the scheduler each second. It kills the scheduler and returns false when
// the memory exceeds the limit.
func watchMemory(r *rig, p *process, badAnswers *atomic.Int64) (held bool) {
	end := time.Now().Add(idsTime)
	for next := time.Now(); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		kilobytes, err := privateMemory(p.cmd.Process.Pid)
		if err != nil {
			r.logf("the scheduler has ended by itself: %v", err)
			return false
		}
		over := kilobytes > idsMemoryMB<<10
		if over || time.Now().After(next) {
			next = next.Add(time.Second)
			r.logf("scheduler memory %d of %d KiB, bad clients answered %d times", kilobytes, idsMemoryMB<<10,
				badAnswers.Load())
		}
		if over {
			r.logf("the scheduler is over memory_mb: the platform kills it")
			p.signal(syscall.SIGKILL)
			return false
		}
	}
	return true
}

// privateMemory returns the memory of a process without the pages of its program file, in KiB.
func privateMemory(pid int) (kilobytes int, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	found := false
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			n, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0, err
			}
			kilobytes, found = kilobytes+n, true
		}
	}
	if !found {
		return 0, fmt.Errorf("process %d has no memory", pid)
	}
	return kilobytes, nil
}

// newID returns a new request id of 32 hexadecimal digits.
func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// jobTime is how long the client of a post-reading waits.
const jobTime = 5 * time.Second

// jobHeader returns the headers of a post-reading.
func jobHeader(id string) map[string]string {
	return map[string]string{"X-Txn": id, "X-Lane": "post-reading", "X-Org": "sahel",
		"X-Remaining-Ms": strconv.Itoa(int(jobTime.Milliseconds()))}
}

// usualClients hand in jobs at a steady rate, each on a new connection, and count those without an answer.
func usualClients(r *rig, p *process, stop <-chan struct{}, unanswered *atomic.Int64) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(time.Second / usualRate)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		open.Go(func() {
			id := newID()
			conn, err := net.DialTimeout("tcp", p.addr, time.Second)
			if err != nil {
				r.logf("usual client: job %s not sent: %v", id, err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(jobTime + time.Second))
			_, err = conn.Write(encode(p.addr, "POST", "/post-reading/"+id,
				jobHeader(id), []byte("meter 17")))
			if err != nil {
				r.logf("usual client: job %s not sent: %v", id, err)
				return
			}
			status, err := readAnswer(bufio.NewReader(conn))
			if err != nil {
				unanswered.Add(1)
			}
			r.logf("usual client: job %s answered %d, error %v", id, status, err)
		})
	}
}

// badClient sends a request, and the same again with a new id as soon as it is answered.
func badClient(p *process, stop <-chan struct{}, answers *atomic.Int64) {
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
			conn.SetDeadline(time.Now().Add(jobTime + time.Second))
			id := newID()
			_, err = conn.Write(encode(p.addr, "POST", "/post-reading/17",
				jobHeader(id), nil))
			if err == nil {
				if _, err = readAnswer(reader); err == nil {
					answers.Add(1)
				}
			}
		}
		conn.Close()
	}
}
