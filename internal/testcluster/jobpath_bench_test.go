package testcluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/http1"
)

// The costs of docs/CAPACITY.md that only the real program shows. Each is processor time from the system's
// accounts of the one process that is measured, so that clients and workers beside it do not count.

const relayEnv = "RIG_RELAY_TO"

// TestMain runs the tests, or else the relay that the job path is held against.
func TestMain(m *testing.M) {
	if to := os.Getenv(relayEnv); to != "" {
		fmt.Fprintln(os.Stderr, "relay:", relay(to))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// relay takes jobs and hands them to one worker, with no decisions: what net/http alone costs. It prints
// its address.
func relay(to string) error {
	var waits sync.Map // by id: where the result goes
	out := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	handle := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/callback" {
			var said struct{ ID, State, Result string }
			if err := json.NewDecoder(r.Body).Decode(&said); err != nil {
				w.WriteHeader(400)
			} else if wait, ok := waits.Load(said.ID); ok && said.State == "done" {
				wait.(chan string) <- said.Result
			}
			return
		}
		id, done := r.Header.Get("X-Txn"), make(chan string, 1)
		waits.Store(id, done)
		defer waits.Delete(id)
		on, err := http.NewRequest(r.Method, "http://"+to+r.URL.Path, r.Body)
		if err == nil {
			on.ContentLength = r.ContentLength
			on.Header.Set("X-Txn", id)
			on.Header.Set("X-Remaining-Ms", r.Header.Get("X-Remaining-Ms"))
			var res *http.Response
			if res, err = out.Do(on); err == nil {
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		}
		if err != nil {
			w.WriteHeader(502)
			return
		}
		io.WriteString(w, <-done)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	return http.Serve(l, http.HandlerFunc(handle))
}

// startRelay runs the relay in a process of its own.
func startRelay(tb testing.TB, to string) *Process {
	tb.Helper()
	p := &Process{cmd: exec.Command(os.Args[0]), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), relayEnv+"="+to)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	p.Addr, err = bufio.NewReader(out).ReadString('\n')
	p.Addr = strings.TrimSpace(p.Addr)
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	if err != nil {
		p.Kill()
		tb.Fatal(err)
	}
	return p
}

// fastWorker takes jobs of no length: 202, then started and done, on connections that it keeps. It counts
// the bytes of its connections, and those of its callbacks. One that holds jobs never ends them.
type fastWorker struct {
	*http.Server
	addr          string
	scheduler     atomic.Pointer[string] // where callbacks go
	client        *http.Client
	neverFinishes bool
	attempts      atomic.Int64
	connections   atomic.Int64 // connections
	bytes         atomic.Int64
}

// countedConn counts what passes over a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts what passes over the connections of a listener.
type countingListener struct {
	net.Listener
	worker *fastWorker
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.worker.connections.Add(1)
		conn = countedConn{conn, &l.worker.bytes}
	}
	return conn, err
}

func newFastWorker(tb testing.TB) *fastWorker {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	w := &fastWorker{addr: l.Addr().String()}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countedConn{conn, &w.bytes}, err
		}}}
	w.Server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.Serve(countingListener{l, w})
	tb.Cleanup(func() { w.Close() })
	return w
}

func (w *fastWorker) serve(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method != "POST" {
		return
	}
	w.attempts.Add(1)
	out.WriteHeader(202)
	id := r.Header.Get("X-Txn")
	go func() {
		w.callback(id, "started", nil)
		if !w.neverFinishes {
			w.callback(id, "done", body)
		}
	}()
}

func (w *fastWorker) callback(id, state string, result []byte) {
	said := map[string]string{"id": id, "from": "worker-0", "state": state}
	if state == "done" {
		said["result"] = string(result)
	}
	raw, err := json.Marshal(said)
	if err != nil {
		return
	}
	for range 10 {
		res, err := w.client.Post("http://"+*w.scheduler.Load()+"/callback", "application/json", bytes.NewReader(raw))
		if err == nil {
			io.Copy(io.Discard, res.Body)
			if res.Body.Close(); res.StatusCode == 200 || res.StatusCode == 204 {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// submitJob hands a job in and reads its answer.
func submitJob(conn net.Conn, read *http1.Reader, id string) (status int, err error) {
	_, err = conn.Write(http1.AppendRequest(nil, "POST", "/district-batch/"+id, []http1.Field{
		{Name: "Host", Value: "api"}, {Name: "X-Txn", Value: id}, {Name: "X-Lane", Value: "district-batch"},
		{Name: "X-Org", Value: "sahel"}, {Name: "X-Remaining-Ms", Value: "3900"},
		{Name: "Idempotency-Key", Value: id}}, []byte(strings.Repeat("4211 ", 40))))
	if err != nil {
		return 0, err
	}
	m, err := read.Response()
	if err != nil {
		return 0, err
	}
	return m.Status, nil
}

// tally is what clients saw.
type tally struct{ served, other, bytes atomic.Int64 }

// clients hand in jobs one after another until a time, each on a connection that it keeps, or on a new one
// for each job.
func (t *tally) clients(addr string, n int, until time.Time, fresh bool) error {
	errs := make(chan error, n)
	for c := range n {
		go func() {
			errs <- func() error {
				var conn net.Conn
				var read *http1.Reader
				for k := 0; time.Now().Before(until); k++ {
					if conn == nil {
						raw, err := net.DialTimeout("tcp", addr, 5*time.Second)
						if err != nil {
							return err
						}
						conn = countedConn{raw, &t.bytes}
						conn.SetDeadline(time.Now().Add(60 * time.Second))
						read = http1.NewReader(conn)
					}
					status, err := submitJob(conn, read, fmt.Sprintf("%08x%08x", c, time.Now().UnixNano()&0xffffffff))
					switch {
					case err != nil:
						return err
					case status == 200:
						t.served.Add(1)
					default:
						t.other.Add(1)
					}
					if fresh {
						conn.Close()
						conn = nil
					}
				}
				if conn != nil {
					conn.Close()
				}
				return nil
			}()
		}()
	}
	var all error
	for range n {
		all = errors.Join(all, <-errs)
	}
	return all
}

// startWithFastWorker starts the real program with one quick worker.
func startWithFastWorker(tb testing.TB, bin string, schedulers int) (*fastWorker, *Process,
	*scriptedDiscovery) {
	tb.Helper()
	w, discovery := newFastWorker(tb), newScriptedDiscovery(tb)
	p, err := StartConfig(bin, tb.TempDir(), Config{Name: "n0", Listen: "127.0.0.1:0",
		Discovery: discovery.Addr().String(), Schedulers: schedulers, MemoryMB: 64, MaxSockets: 1024,
		KnownEndpoints: []fakes.Endpoint{}})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(p.Kill)
	w.scheduler.Store(&p.Addr)
	discovery.accept(tb, []fakes.Endpoint{{UID: "worker-0", Addr: w.addr, Zone: "north", Kind: "m1",
		State: "ready"}})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				discovery.watch.Write([]byte("1\r\n\n\r\n"))
			}
		}
	}()
	tb.Cleanup(func() { close(stop); <-done })
	return w, p, discovery
}

// cpuTicks is the processor time of a process in hundredths of a second, as /proc has it.
func cpuTicks(tb testing.TB, p *Process) (ticks int) {
	tb.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		tb.Fatal(err)
	}
	var user, system int
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return user + system
}

// loadDuration is how long clients load the path for each figure.
const loadDuration = 1500 * time.Millisecond

// BenchmarkSlopePath is the processor time of a job's whole way on sockets, one worker with jobs of no
// length and two callbacks each: the program, with all connections kept, or new ones for each job or
// callback, beside a relay of net/http that decides nothing.
func BenchmarkSlopePath(b *testing.B) {
	bin := buildScheduler(b)
	b.Setenv("GOMAXPROCS", "1") // of the processes that are started
	for _, kind := range []string{"program", "relay", "new clients", "new callbacks", "relay, new callbacks"} {
		for _, clients := range []int{1, 4, 8, 32, 64, 128} {
			b.Run(fmt.Sprintf("%s/%d clients", kind, clients), func(b *testing.B) {
				var w *fastWorker
				var p *Process
				if strings.HasPrefix(kind, "relay") {
					w = newFastWorker(b)
					p = startRelay(b, w.addr)
					w.scheduler.Store(&p.Addr)
					b.Cleanup(p.Kill)
				} else {
					w, p, _ = startWithFastWorker(b, bin, 300)
				}
				if strings.HasSuffix(kind, "new callbacks") {
					w.client.Transport.(*http.Transport).DisableKeepAlives = true
				}
				fresh := kind == "new clients"
				var warm, t tally
				if err := warm.clients(p.Addr, clients, time.Now().Add(loadDuration/3), fresh); err != nil {
					b.Fatal(err)
				}
				tick := cpuTicks(b, p)
				before, attempts, taken, bytes := cpuTime(b, p), w.attempts.Load(), w.connections.Load(), w.bytes.Load()
				if err := t.clients(p.Addr, clients, time.Now().Add(loadDuration), fresh); err != nil {
					b.Fatal(err)
				}
				ticks := cpuTicks(b, p) - tick
				used, served := cpuTime(b, p)-before, float64(t.served.Load())
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(used.Seconds()*1e6/served, "cpu-us/job")
				b.ReportMetric(float64(ticks)*1e4/served, "proc-us/job") // the other account, in hundredths of a second
				b.ReportMetric(served/loadDuration.Seconds(), "jobs/s")
				b.ReportMetric(float64(t.other.Load())/served, "refused/job")
				b.ReportMetric(float64(w.attempts.Load()-attempts)/served, "attempts/job")
				b.ReportMetric(float64(w.connections.Load()-taken)/served, "dials/job")
				b.ReportMetric(float64(t.bytes.Load())/served, "client-bytes/job")
				b.ReportMetric(float64(w.bytes.Load()-bytes)/served, "worker-bytes/job")
			})
		}
	}
}

// BenchmarkSlopeInFlight is the memory of the real program that holds so many requests, each with its
// client's
// connection.
func BenchmarkSlopeInFlight(b *testing.B) {
	bin := buildScheduler(b)
	for _, n := range []int{25, 100, 200, 300, 400, 600} {
		b.Run(fmt.Sprintf("%d held", n), func(b *testing.B) {
			w, p, _ := startWithFastWorker(b, bin, 300)
			w.neverFinishes = true
			idle, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			var conns []net.Conn
			for range n {
				conn, err := net.Dial("tcp", p.Addr)
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				conns = append(conns, conn)
			}
			for i, conn := range conns {
				go submitJob(conn, http1.NewReader(conn), fmt.Sprintf("%016x", i))
			}
			time.Sleep(time.Second) // less than their aim
			use, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(use.PeakMemoryMB*1024, "resident-kB")
			b.ReportMetric((use.PeakMemoryMB-idle.PeakMemoryMB)*1024/float64(n), "kB/request")
			b.ReportMetric(float64(use.Descriptors), "descriptors")
		})
	}
}

// BenchmarkSlopeIdle is what the real program takes with a list of so many workers: for a line of a watch
// that tells nothing, for a second of nothing, for a SIGHUP with a file that knows them all, and for a word
// with one change.
func BenchmarkSlopeIdle(b *testing.B) {
	bin := buildScheduler(b)
	for _, n := range []int{200, 450, 800, 2400, 4800, 7200} {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			lines := make([]fakes.Endpoint, n)
			for i := range lines {
				lines[i] = fakes.Endpoint{UID: fmt.Sprintf("worker-%05d", i),
					Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i), Zone: fmt.Sprint("zone-", i%14),
					Kind: fmt.Sprint("m", i/14%4), Cell: i / 40, State: "ready"}
			}
			discovery, folder := newScriptedDiscovery(b), b.TempDir()
			p, err := StartConfig(bin, folder, Config{Name: "n0", Listen: "127.0.0.1:0",
				Discovery: discovery.Addr().String(), Schedulers: 300, MemoryMB: 64, MaxSockets: 512,
				KnownEndpoints: lines})
			if err != nil {
				b.Fatal(err)
			}
			defer p.Kill()
			discovery.accept(b, lines)
			start := discovery.waitUntilIdle(b, p)
			file, err := os.Stat(filepath.Join(folder, "n0.json"))
			if err != nil {
				b.Fatal(err)
			}
			const beats, signals, words, quiet = 5000, 5, 100, 2 * time.Second
			before := cpuTime(b, p)
			time.Sleep(quiet)
			idle := cpuTime(b, p) - before
			for range beats {
				if _, err := discovery.watch.Write([]byte("1\r\n\n\r\n")); err != nil {
					b.Fatal(err)
				}
			}
			beat := discovery.waitUntilIdle(b, p) - before - idle
			before = cpuTime(b, p)
			for i := range words {
				line := lines[i/2*7919%n]
				line.State = []string{"draining", "ready"}[i%2]
				discovery.send(b, false, []fakes.Endpoint{line})
				time.Sleep(2 * time.Millisecond) // each is a word of its own
			}
			word := discovery.waitUntilIdle(b, p) - before
			before = cpuTime(b, p)
			for range signals {
				if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
					b.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond) // signals that come together count as one
			}
			reload := discovery.waitUntilIdle(b, p) - before
			taken := 0
			for _, line := range p.Log() {
				taken += strings.Count(line, "configuration taken")
			}
			if taken == 0 {
				b.Fatal("no configuration was taken")
			}
			use, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(start.Seconds()*1e6, "cpu-us/start")
			b.ReportMetric(idle.Seconds()*1e6/quiet.Seconds(), "cpu-us/s-idle")
			b.ReportMetric(beat.Seconds()*1e6/beats, "cpu-us/beat")
			b.ReportMetric(word.Seconds()*1e6/words, "cpu-us/word")
			b.ReportMetric(reload.Seconds()*1e6/float64(taken), "cpu-us/reload")
			b.ReportMetric(float64(file.Size()), "file-bytes")
			b.ReportMetric(use.PeakMemoryMB, "MB")
		})
	}
}
