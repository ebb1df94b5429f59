package testcluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// relayEnv is the environment variable that makes the test binary run as a relay. Its value is the address of
// the worker that the relay forwards jobs to.
const relayEnv = "TESTCLUSTER_RELAY_TO"

// TestMain runs the tests or, if relayEnv is set, the relay that the benchmark of the job path compares the
// scheduler with.
func TestMain(m *testing.M) {
	if to := os.Getenv(relayEnv); to != "" {
		fmt.Fprintln(os.Stderr, "relay:", serveRelay(to))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// relay is an HTTP server that forwards every job to the same worker and makes no scheduling decisions. Its
// CPU time for each job is the part that net/http alone takes.
type relay struct {
	worker  string
	client  *http.Client
	results sync.Map // maps a job's id to the chan string that passes the callback's result to ServeHTTP
}

// serveRelay listens on a free port, prints the address on standard output, and serves until an error, which
// it returns.
func serveRelay(worker string) error {
	r := &relay{worker: worker, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	l, err := net.Listen("tcp", anyPortAddr)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	return http.Serve(l, r)
}

// ServeHTTP handles a client's job or a worker's callback.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/callback" {
		r.takeCallback(w, request)
		return
	}
	id, result := request.Header.Get("X-Txn"), make(chan string, 1)
	r.results.Store(id, result)
	defer r.results.Delete(id)
	if err := r.forward(id, request); err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	_, _ = io.WriteString(w, <-result) // the client notices a write error
}

func (r *relay) takeCallback(w http.ResponseWriter, request *http.Request) {
	var callback struct{ ID, State, Result string }
	if err := json.NewDecoder(request.Body).Decode(&callback); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if result, ok := r.results.Load(callback.ID); ok && callback.State == "done" {
		result.(chan string) <- callback.Result
	}
}

// forward sends a job to the worker and waits until the worker has accepted it.
func (r *relay) forward(id string, request *http.Request) error {
	forwarded, err := http.NewRequest(request.Method, "http://"+r.worker+request.URL.Path, request.Body)
	if err != nil {
		return err
	}
	forwarded.ContentLength = request.ContentLength
	forwarded.Header.Set("X-Txn", id)
	forwarded.Header.Set("X-Remaining-Ms", request.Header.Get("X-Remaining-Ms"))
	answer, err := r.client.Do(forwarded)
	if err != nil {
		return err
	}
	// The result of the job arrives by a callback; the body of this answer has no use.
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return nil
}

// startRelay starts the relay as a separate process.
func startRelay(tb testing.TB, worker string) *Process {
	tb.Helper()
	p := &Process{cmd: exec.Command(os.Args[0]), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), relayEnv+"="+worker)
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
