package client

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dahliaford/client/internal/plan"
	"dahliaford/internal/http1"
	"dahliaford/internal/testcluster"
)

// buildScheduler builds the scheduler's program once for all tests and returns the path of the executable.
var buildScheduler = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "client")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(folder, "dahliaford")
	build := exec.Command("go", "build", "-o", bin, "./cmd/dahliaford")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the scheduler: %w: %s", err, out)
	}
	return bin, nil
})

// TestMain runs the tests and then removes the scheduler's program.
func TestMain(m *testing.M) {
	status := m.Run()
	if bin, err := buildScheduler(); err == nil {
		_ = os.RemoveAll(filepath.Dir(bin)) // a leftover file does not affect the result of the tests
	}
	os.Exit(status)
}

// startFleet starts the given number of real schedulers with four fake workers for each, and stops them at
// the end of the test.
func startFleet(t *testing.T, schedulers int) *testcluster.Fleet {
	t.Helper()
	bin, err := buildScheduler()
	if err != nil {
		t.Fatal(err)
	}
	f, err := testcluster.StartFleet(testcluster.FleetOptions{Program: bin, Folder: t.TempDir(),
		Schedulers: schedulers, WorkersPerScheduler: 4, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// maxLateness is the longest time for which a call of Do may continue after the job's deadline. The value
// allows for a busy machine; the benchmark program schedbench allows only 50 ms.
const maxLateness = 2 * time.Second

// truncatingProxy forwards connections to a scheduler. It closes each connection after a fixed number of
// bytes in one direction.
type truncatingProxy struct {
	net.Listener
	target      string // address of the scheduler
	cutRequests bool   // limit counts the bytes of requests; if unset, limit counts the bytes of responses
	limit       int64  // number of bytes that are forwarded in the limited direction
}

// startTruncatingProxy starts a truncatingProxy on a free local port.
func startTruncatingProxy(t *testing.T, target string, cutRequests bool, limit int64) *truncatingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &truncatingProxy{l, target, cutRequests, limit}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.proxy(conn)
		}
	}()
	return c
}

// proxy forwards one connection until the limit is reached or either side closes the connection.
func (c *truncatingProxy) proxy(caller net.Conn) {
	defer caller.Close()
	scheduler, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer scheduler.Close()
	done := make(chan bool, 2)
	relay := func(to, from net.Conn, limited bool) {
		if limited {
			_, _ = io.CopyN(to, from, c.limit) // an error is expected: either side may close the connection
		} else {
			_, _ = io.Copy(to, from) // an error is expected: either side may close the connection
		}
		done <- true
	}
	go relay(scheduler, caller, c.cutRequests)
	go relay(caller, scheduler, !c.cutRequests)
	<-done
}

// TestExchangeCutAtEveryByte sends a job to a real scheduler and cuts the connection after every possible
// number of bytes of the request and of the response. The job must run at most once, and a job that ran must
// not end as refused.
func TestExchangeCutAtEveryByte(t *testing.T) {
	f := startFleet(t, 1)
	addr := f.Schedulers()[0]
	var lengths [2]int64 // length of a request and of a response, in bytes
	direct := newTestClient(t, addr)
	if _, err := direct.Do(t.Context(), Job{Class: "post-reading",
		Body: []byte(f.JobPrefix() + "first")}); err != nil {
		t.Fatal(err)
	}
	body := f.JobPrefix() + "post-reading true 100"
	lengths[0] = int64(len(direct.encodeRequest(&Job{Class: "post-reading", Body: []byte(body)}, plan.Step{},
		4000)))
	lengths[1] = int64(len(http1.AppendResponse(nil, 200,
		[]http1.Field{{Name: "Connection", Value: "keep-alive"}}, []byte(body))))
	var all sync.WaitGroup
	semaphore := make(chan bool, 16)
	var mu sync.Mutex
	verdicts := map[string]int{}
	for direction, length := range lengths {
		for limit := range length + 2 {
			semaphore <- true
			all.Go(func() {
				defer func() { <-semaphore }()
				c := startTruncatingProxy(t, addr, direction == 0, limit)
				defer c.Close()
				body := fmt.Sprint(f.JobPrefix(), "post-reading ", direction == 0, " ", limit)
				client, err := New(Config{Schedulers: []string{c.Addr().String()}, Tenant: "sahel", RetryBudget: 1,
					Classes: map[string]Class{"post-reading": {Deadline: 2 * time.Second, Effect: Once}}})
				if err != nil {
					t.Error(err)
					return
				}
				defer client.Close()
				_, err = client.Do(t.Context(), Job{Class: "post-reading", Body: []byte(body)})
				ran := f.PostReadingRuns(body)
				mu.Lock()
				defer mu.Unlock()
				verdicts[Verdict(err)]++
				if ran > 1 || ran > 0 && Verdict(err) == "refused" {
					t.Errorf("job %s ran %d times, got error %v; want at most one run, and no refusal if the job ran",
						body, ran, err)
				}
			})
		}
	}
	all.Wait()
	if counts := f.RunCounts(); counts.Duplicates > 0 {
		t.Errorf("%d jobs of class post-reading ran more than once, want 0", counts.Duplicates)
	}
	if verdicts["unknown"] < int(lengths[1])/2 {
		t.Errorf("got verdicts %v, want unknown for at least half of the responses that were cut off", verdicts)
	}
}

// TestRestarts restarts two schedulers under load: the test shuts one scheduler down gracefully, then kills
// the other one, then kills both at once. The schedulers are expected to run again within 2 s, before the
// jobs' deadline of 6 s. Jobs must wait for the restarted schedulers instead of failing, and no job may run
// twice.
func TestRestarts(t *testing.T) {
	f := startFleet(t, 2)
	c, err := New(Config{Schedulers: f.Schedulers(), Tenant: "sahel", Classes: map[string]Class{
		"post-reading": {Deadline: 6 * time.Second, Effect: Once}}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var mu sync.Mutex
	verdicts := map[string]int{}
	var pending sync.WaitGroup
	stop := make(chan bool)
	pending.Go(func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			pending.Go(func() {
				deadline := time.Now().Add(6 * time.Second)
				_, err := c.Do(t.Context(), Job{Class: "post-reading", Body: fmt.Append(nil, f.JobPrefix(), "job ", n),
					Deadline: deadline})
				mu.Lock()
				defer mu.Unlock()
				verdicts[Verdict(err)]++
				if late := time.Since(deadline); late > maxLateness {
					t.Errorf("call of Do for job %d returned %v after the job's deadline, want at most 2 s", n, late)
				}
			})
		}
	})
	served := func() int {
		mu.Lock()
		defer mu.Unlock()
		return verdicts["served"]
	}
	waitForServedJobs := func() {
		t.Helper()
		before := served()
		waitFor(t, func() bool { return served() > before+20 })
	}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
	}
	waitForServedJobs()
	check(f.Stop(0, time.Now().Add(20*time.Second)))
	waitForServedJobs()
	check(f.Restart(0))
	f.Kill(1)
	waitForServedJobs()
	check(f.Restart(1))
	f.Kill(0)
	f.Kill(1)
	check(f.Restart(0))
	check(f.Restart(1))
	waitForServedJobs()
	close(stop)
	pending.Wait()
	if counts := f.RunCounts(); counts.Duplicates > 0 {
		t.Errorf("%d jobs of class post-reading ran more than once, want 0", counts.Duplicates)
	}
	all := 0
	for _, n := range verdicts {
		all += n
	}
	// Only jobs that are in flight at a killed scheduler should fail, at most a quarter of all jobs. Refused
	// jobs should be retried at another scheduler.
	if notServed := all - verdicts["served"]; notServed > all/4 {
		t.Errorf("%v", verdicts)
	}
}

// TestRetryAfter checks for each form of a Retry-After value how long the client waits before the next
// attempt. A minWait of -1 means that the delay exceeds the job's deadline, so that the client must not retry
// and must return a RefusedError with the time for a new submission.
func TestRetryAfter(t *testing.T) {
	for text, minWait := range map[string]time.Duration{
		"0": 0, "0.05": 50 * time.Millisecond, "2": 2 * time.Second, "-3": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
		"soon": 0, "NaN": 0, "": 0,
		"1e300": -1, "Inf": -1, "86400": -1, // delays beyond the job's deadline
	} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			var first atomic.Int64
			var wait atomic.Int64
			s := startScripted(t, func(n int64) (string, afterResponse) {
				if n == 1 {
					first.Store(time.Now().UnixNano())
					return "HTTP/1.1 503 Busy\r\nRetry-After: " + text + "\r\nContent-Length: 0\r\n\r\n", keepOpen
				}
				wait.Store(time.Now().UnixNano() - first.Load())
				return served, keepOpen
			})
			_, err := newTestClient(t, s.Addr().String()).Do(t.Context(), Job{Class: "post-reading"})
			if minWait < 0 {
				var refused *RefusedError
				if !errors.As(err, &refused) || time.Until(refused.RetryAfter) < 30*time.Second ||
					s.received.Load() != 1 {
					t.Errorf(
						"Retry-After beyond the deadline: got error %v, %d attempts, want RefusedError with a time, 1 attempt",
						err, s.received.Load())
				}
				return
			}
			if err != nil || time.Duration(wait.Load()) < minWait ||
				time.Duration(wait.Load()) > minWait+maxLateness {
				t.Errorf(
					"job refused once: got error %v, retry %v after the refusal, want no error and a delay of at least %v",
					err, time.Duration(wait.Load()), minWait)
			}
		})
	}
}

// TestUnhealthySchedulerBesideHealthyOne gives a client a healthy scheduler and a scheduler that does not
// respond, responds with one byte per second or refuses all jobs at once. At least half of the jobs must be
// served, and all calls must return in time.
func TestUnhealthySchedulerBesideHealthyOne(t *testing.T) {
	f := startFleet(t, 1)
	for name, answer := range map[string]func(int64) (string, afterResponse){
		"silent":  func(int64) (string, afterResponse) { return "", noResponse },
		"trickle": func(int64) (string, afterResponse) { return "", trickleResponse },
		"refuses": func(int64) (string, afterResponse) {
			return "HTTP/1.1 503 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n", keepOpen
		},
	} {
		t.Run(name, func(t *testing.T) {
			unhealthy := startScripted(t, answer)
			c, err := New(Config{Schedulers: []string{unhealthy.Addr().String(), f.Schedulers()[0]}, Tenant: "sahel",
				Seed: 3, Classes: map[string]Class{"post-reading": {Deadline: 700 * time.Millisecond, Effect: Once}}})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			verdicts := map[string]int{}
			for n := range 40 {
				deadline := time.Now().Add(700 * time.Millisecond)
				_, err := c.Do(t.Context(), Job{Class: "post-reading", Deadline: deadline,
					Body: fmt.Append(nil, f.JobPrefix(), name, n)})
				verdicts[Verdict(err)]++
				if late := time.Since(deadline); late > maxLateness {
					t.Errorf("call of Do for job %d returned %v after the job's deadline, want at most 2 s", n, late)
				}
			}
			if verdicts["served"] < 20 { // half of the 40 jobs: a slow machine may miss some of the short deadlines
				t.Errorf("got verdicts %v, %d attempts at the unhealthy scheduler, want at least 20 of 40 jobs served",
					verdicts, unhealthy.received.Load())
			}
		})
	}
}

// TestTenThousandWaiting submits ten thousand jobs (fewer under the race detector) at once and then stops the
// only scheduler's listener. The client must not start a goroutine for each waiting job, must stay within a
// memory limit, and must end each job by its deadline.
func TestTenThousandWaiting(t *testing.T) {
	const jobs = maxCallers
	s := startScripted(t, func(int64) (string, afterResponse) { return "", noResponse })
	c, err := New(Config{Schedulers: []string{s.Addr().String()}, Tenant: "sahel", Classes: map[string]Class{
		"post-reading": {Deadline: 3 * time.Second, Effect: Once}}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	before := runtime.NumGoroutine()
	deadline := time.Now().Add(3 * time.Second)
	var done sync.WaitGroup
	var returned, late atomic.Int64
	verdicts := make([]atomic.Int64, 2) // number of jobs that ended as unknown, number of jobs that did not run
	for range jobs {
		done.Go(func() {
			_, err := c.Do(t.Context(), Job{Class: "post-reading", Deadline: deadline})
			returned.Add(1)
			switch Verdict(err) {
			case "unknown":
				verdicts[0].Add(1)
			case "refused", "expired": // in both cases the job did not run
				verdicts[1].Add(1)
			}
			if time.Since(deadline) > maxLateness {
				late.Add(1)
			}
		})
	}
	waitFor(t, func() bool { return s.received.Load() > 0 })
	s.Close() // new connections are refused, and requests on open connections get no response
	if maxGoroutines := before + jobs + 1000; runtime.NumGoroutine() > maxGoroutines {
		t.Errorf("got %d goroutines for %d callers, want at most one per caller and 1,000 more than before",
			runtime.NumGoroutine(), jobs)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > 256<<20 {
		t.Errorf("client with concurrent calls of Do: got %d MB on the heap, want at most 256 MB",
			m.HeapAlloc>>20)
	}
	done.Wait()
	if verdicts[0].Load()+verdicts[1].Load() != jobs || late.Load() > 0 ||
		verdicts[0].Load() > defaultMaxConnections {
		t.Errorf(
			"got %d jobs of verdict unknown, %d not run, want %d in all and at most 64 unknown; %d late calls, want 0",
			verdicts[0].Load(), verdicts[1].Load(), jobs, late.Load())
	}
}
